#!/usr/bin/perl
# Sends COUNT requests at once, each on a connection of its own, and waits for
# SECONDS: many_requests.pl IP:PORT PREFIX PATH COUNT SECONDS read|unread. Reads
# the answers and prints the status and the id of each, or reads nothing over
# small windows.
use strict;
use warnings;
use IO::Select;
use Socket;
use Time::HiRes qw(time);

my ($address, $prefix, $path, $count, $seconds, $mode) = @ARGV;
my ($ip, $port) = split /:/, $address;
my $end = time + $seconds;
my $select = IO::Select->new;
my (%id, %in);
$SIG{PIPE} = 'IGNORE';

for my $n (1 .. $count) {
	socket(my $s, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
	setsockopt($s, SOL_SOCKET, SO_RCVBUF, 4096) if $mode eq 'unread';
	connect($s, sockaddr_in($port, inet_aton($ip))) or die "connect: $!";
	syswrite($s, "GET $path HTTP/1.1\r\nHost: a.example\r\n"
		. "X-Request-Id: $prefix-$n\r\nX-Deadline-Ms: 2000\r\n"
		. "Connection: close\r\n\r\n");
	$id{$s} = "$prefix-$n";
	$in{$s} = '';
	$select->add($s);
}
while ($mode eq 'read' && $select->count && time < $end) {
	for my $s ($select->can_read(0.1)) {
		my $n = sysread($s, my $part, 65536);
		$in{$s} .= substr($part, 0, 20) if $n && length $in{$s} < 20;
		next if $n;
		print $in{$s} =~ /^HTTP\S+ (\d+)/ ? $1 : '000', " $id{$s}\n";
		$select->remove($s);
	}
}
select(undef, undef, undef, $end - time) if $mode eq 'unread';
