#!/usr/bin/perl
# Sends COUNT requests one after another on each of CONNECTIONS kept connections
# and prints how many got each status: kept_load.pl IP:PORT CONNECTIONS COUNT
# PREFIX PATH [HEADER...].
use strict;
use warnings;
use IO::Select;
use IO::Socket::INET;

my ($address, $connections, $count, $prefix, $path, @headers) = @ARGV;
my $head = join '', map { "$_\r\n" } @headers;
my (%status, %in, %sent);
my $select = IO::Select->new;

sub send_next {
	my ($s) = @_;
	my $n = ++$sent{$s};
	syswrite($s, "GET $path HTTP/1.1\r\nHost: a.example\r\n"
		. "X-Request-Id: $prefix-" . fileno($s) . "-$n\r\n"
		. "X-Deadline-Ms: 3000\r\n$head\r\n");
}

sub finish {
	my ($s, $status) = @_;
	$status{$status}++;
	return send_next($s) if $status ne 'closed' && $sent{$s} < $count;
	$select->remove($s);
	close $s;
}

for (1 .. $connections) {
	my $s = IO::Socket::INET->new(PeerAddr => $address) or die "connect: $!";
	$in{$s} = '';
	$select->add($s);
	send_next($s);
}
while ($select->count) {
	for my $s ($select->can_read(30)) {
		if (!sysread($s, $in{$s}, 65536, length $in{$s})) {
			finish($s, 'closed');
			next;
		}
		next unless $in{$s} =~ /^(HTTP\S+ (\d+).*?\r\n\r\n)/s;
		my ($length, $status) = (length $1, $2);
		$length += $1 if $1 =~ /^content-length: *(\d+)/mi;
		next if length $in{$s} < $length;
		$in{$s} = substr $in{$s}, $length;
		finish($s, $status);
	}
}
print join(' ', map { "$_=$status{$_}" } sort keys %status), "\n";
