#!/usr/bin/perl
# Sends requests over connections that are kept open until the other side closes
# them, each from a process of its own, and prints one line for each request:
#
#     answered ID STATUS     the whole response was read
#     unanswered ID          the connection ended before that
#
# usage: kept_connections.pl ADDRESS KEY PREFIX CONNECTIONS SECONDS METHOD PATH
use strict;
use warnings;
use IO::Socket::INET;
use Time::HiRes qw(time sleep);

my ($address, $key, $prefix, $connections, $seconds, $method, $path) = @ARGV;
my $end = time() + $seconds;
$| = 1;
$SIG{PIPE} = 'IGNORE';

# Returns the status of the response, or undef when it is not complete, and
# whether the connection closes after it.
sub read_response {
	my ($socket) = @_;
	my $text = '';
	my $body;
	until (defined $body && length($body) >= ($text =~ /^Content-Length: (\d+)/mi ? $1 : 0)) {
		my $n = sysread($socket, my $more, 65536);
		return undef unless $n;
		$text .= $more;
		$body = $1 if $text =~ /\r\n\r\n(.*)\z/s;
	}
	my ($status) = $text =~ m{^HTTP/1\.1 (\d+)};
	return ($status, $text =~ /^Connection: close/mi);
}

sub run {
	my ($number) = @_;
	my ($socket, $count, $refused) = (undef, 0, 0);
	while (time() < $end && $refused < 20) {
		$socket //= IO::Socket::INET->new(PeerAddr => $address, Timeout => 2);
		if (!$socket) {
			$refused++;
			sleep(0.05);
			next;
		}
		my $id = "$prefix-$number-" . ++$count;
		my $request = "$method $path HTTP/1.1\r\nHost: a.example\r\n" .
			"Authorization: Bearer $key\r\nX-Request-Id: $id\r\n" .
			"X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
		syswrite($socket, $request);
		my ($status, $closes) = read_response($socket);
		print defined $status ? "answered $id $status\n" : "unanswered $id\n";
		$socket = undef if !defined $status || $closes;
	}
}

my @children;
for my $number (1 .. $connections) {
	my $pid = fork();
	if (!$pid) {
		run($number);
		exit 0;
	}
	push @children, $pid;
}
waitpid($_, 0) for @children;
