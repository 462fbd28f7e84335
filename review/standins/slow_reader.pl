#!/usr/bin/env perl
# Client that reads its answer slowly: slow_reader.pl IP:PORT PATH ID KEY
# DEADLINE_MS BYTES_PER_S. Sends one GET on a kept connection and prints what
# it got: status, length announced, length read, time, how the read ended.
use strict;
use warnings;
use IO::Socket::INET;
use Socket qw(SOL_SOCKET SO_RCVBUF);
use Time::HiRes qw(time sleep);

my ($address, $path, $id, $key, $deadline, $rate) = @ARGV;
my ($ip, $port) = split /:/, $address;
socket(my $s, Socket::PF_INET, Socket::SOCK_STREAM, 0) or die;
setsockopt($s, SOL_SOCKET, SO_RCVBUF, 8192);
# Segments of the size that IPv4 lets each path have; without this the buffers of
# loopback connections hold the whole answer.
setsockopt($s, Socket::IPPROTO_TCP, Socket::TCP_MAXSEG, pack("i", 536));
connect($s, Socket::pack_sockaddr_in($port, Socket::inet_aton($ip))) or die;
syswrite($s, "GET $path HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: $id\r\n"
	. "X-Deadline-Ms: $deadline\r\nAuthorization: Bearer $key\r\n\r\n");
my $start = time;
my ($head, $got, $length, $status, $end) = ('', 0, -1, 0, 'complete');
my $step = 0.02;
while (time - $start < $deadline / 1000) {
	my $n = sysread($s, my $part, $rate * $step < 1 ? 1 : $rate * $step);
	if (!defined $n) { $end = "error: $!"; last; }
	if (!$n) { $end = 'closed'; last; }
	if ($length < 0) {
		$head .= $part;
		next unless $head =~ /^(.*?\r\n)\r\n(.*)$/s;
		my ($h, $rest) = ($1, $2);
		($status) = $h =~ /^HTTP\/1.1 (\d+)/;
		($length) = $h =~ /^Content-Length: *(\d+)/mi;
		$got = length $rest;
	} else {
		$got += $n;
	}
	last if $got >= $length;
	sleep $step;
}
$end = 'deadline' if $end eq 'complete' && ($length < 0 || $got < $length);
printf "id=%s status=%d length=%d read=%d after_ms=%d end=%s\n", $id, $status,
	$length, $got, (time - $start) * 1000, $end;
