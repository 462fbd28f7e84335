#!/usr/bin/env perl
# TCP proxy: slow_proxy.pl LISTEN TARGET FILE. Passes bytes on; answers of the
# target are held for the number of milliseconds that FILE contains when they
# arrive. Prints a line for each request head that it passes on.
use strict;
use warnings;
use IO::Socket::INET;
use IO::Select;
use Time::HiRes qw(time);

my ($listen, $target, $file) = @ARGV;
my $server = IO::Socket::INET->new(LocalAddr => $listen, Listen => 128,
	ReuseAddr => 1) or die "cannot listen on $listen";
my $select = IO::Select->new($server);
my (%peer, %is_client, @held);
$| = 1;
$SIG{PIPE} = 'IGNORE';

sub delay {
	open(my $f, '<', $file) or return 0;
	my $ms = <$f> // 0;
	return $ms / 1000;
}
sub drop {
	my ($socket) = @_;
	my $other = delete $peer{$socket} or return;
	delete $peer{$other};
	for ($socket, $other) { $select->remove($_); close $_; }
}
while (1) {
	my $wait = @held ? $held[0][0] - time : 1;
	$wait = 0 if $wait < 0;
	for my $socket ($select->can_read($wait)) {
		if ($socket == $server) {
			my $client = $server->accept or next;
			my $out = IO::Socket::INET->new(PeerAddr => $target);
			if (!$out) { close $client; next; }
			$peer{$client} = $out; $peer{$out} = $client;
			$is_client{$client} = 1; delete $is_client{$out};
			$select->add($client, $out);
			next;
		}
		next unless $peer{$socket};
		my $n = sysread($socket, my $bytes, 65536);
		if (!$n) { drop($socket); next; }
		if ($is_client{$socket}) {
			printf "%.3f %s\n", time, $1 if $bytes =~ /^(GET \S+)/;
			syswrite($peer{$socket}, $bytes);
		} else {
			push @held, [time + delay(), $peer{$socket}, $bytes];
		}
	}
	while (@held && $held[0][0] <= time) {
		my $h = shift @held;
		syswrite($h->[1], $h->[2]) if $peer{$h->[1]};
	}
}
