#!/usr/bin/perl
# Opens COUNT connections, sends an unfinished request on each and keeps them
# open until it is killed: request_crowd.pl IP:PORT KIND COUNT BYTES. Opens a
# connection again that the daemon has closed. Prints "open" when nothing could
# be sent for a second, or after 30 s.
# KIND: length and chunks (BYTES of a body that lacks its end), small-chunks (the
# same in chunks of one byte), oversize (bodies without end, every second one
# announced), heads (BYTES of short headers and a body that lacks its end) and
# idle (every second connection has a head without end, the others nothing).
use strict;
use warnings;
use Fcntl;
use IO::Poll qw(POLLIN POLLOUT POLLERR POLLHUP);
use Socket;
use Time::HiRes qw(time);

my ($address, $kind, $count, $bytes) = @ARGV;
my ($ip, $port) = split /:/, $address;
my $to = sockaddr_in($port, inet_aton($ip));
my $head = "POST /b/x HTTP/1.1\r\nHost: a.example\r\n"
	. "Authorization: Bearer k1\r\n";
my $chunked = $head . "Transfer-Encoding: chunked\r\n\r\n";
my $block = sprintf("%x\r\n", 65536) . 'x' x 65536 . "\r\n";
my %first = (
	'length' => sub { ($head . "Content-Length: $bytes\r\n\r\n"
		. 'x' x ($bytes - 1), '') },
	'chunks' => sub { my $half = int($bytes / 2);
		($chunked . (sprintf("%x\r\n", $half) . 'x' x $half . "\r\n") x 2
		. "0\r\n", '') },
	'small-chunks' => sub { ($chunked . "1\r\nx\r\n" x ($bytes - 1), '') },
	'oversize' => sub { $_[0] % 2 ? ($chunked, $block)
		: ($head . "Content-Length: 1000000000\r\n\r\n", $block) },
	'heads' => sub { ($head . "a:\r\n" x int(($bytes - 200) / 4)
		. "Content-Length: 9\r\n\r\nx", '') },
	'idle' => sub { ($_[0] % 2 ? $head . 'X-Long: ' : '', '') },
);
my (@socket, @rest, @again, %at, @start, @endless);
my $poll = IO::Poll->new;
$SIG{PIPE} = 'IGNORE';
$| = 1;

sub open_connection {
	my ($n) = @_;
	socket(my $s, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
	fcntl($s, F_SETFL, O_NONBLOCK);
	connect($s, $to);
	$socket[$n] = $s;
	$rest[$n] = $start[$n % 2];
	$again[$n] = 0;
	$at{fileno $s} = $n;
	$poll->mask($s => POLLIN | POLLOUT);
}

sub close_connection {
	my ($n) = @_;
	$poll->remove($socket[$n]);
	close $socket[$n];
	$socket[$n] = undef;
	$again[$n] = time + 0.5;
}

# Returns whether anything was sent.
sub send_part {
	my ($n) = @_;
	my $sent = syswrite($socket[$n], $rest[$n], 65536);
	return 0 unless $sent;
	$rest[$n] = substr($rest[$n], $sent);
	$rest[$n] = $endless[$n % 2] if $rest[$n] eq '';
	$poll->mask($socket[$n] => POLLIN) if $rest[$n] eq '';
	return 1;
}

($start[$_], $endless[$_]) = $first{$kind}->($_) for 0, 1;
open_connection($_) for 0 .. $count - 1;
my ($begin, $last, $told) = (time, time, 0);
while (1) {
	$poll->poll(0.1);
	for my $s ($poll->handles(POLLIN | POLLERR | POLLHUP)) {
		my $n = $at{fileno $s};
		my $got = sysread($s, my $part, 65536);
		close_connection($n) if !$got && !$!{EAGAIN};
	}
	for my $s ($poll->handles(POLLOUT)) {
		my $n = defined fileno $s ? $at{fileno $s} : undef;
		next unless defined $n && defined $socket[$n] && $socket[$n] == $s;
		$last = time if $rest[$n] ne '' && send_part($n);
		$poll->mask($s => POLLIN) if $rest[$n] eq '';
	}
	for my $n (0 .. $count - 1) {
		open_connection($n) if !$socket[$n] && $again[$n] <= time;
	}
	if (!$told && (time - $last > 1 || time - $begin > 30)) {
		print "open\n";
		$told = 1;
	}
}
