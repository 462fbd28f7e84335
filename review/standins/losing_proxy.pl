#!/usr/bin/env perl
# TCP proxy between one daemon and the store: losing_proxy.pl LISTEN TARGET
# FILE. Passes all on. When FILE holds a number N, the N-th answer from then on
# is lost, and its connection returns nothing further; FILE is then emptied.
# Prints a line for each call and for the answer that is lost.
use strict;
use warnings;
use IO::Socket::INET;
use IO::Select;
use Time::HiRes qw(time);

my ($listen, $target, $file) = @ARGV;
my $server = IO::Socket::INET->new(LocalAddr => $listen, Listen => 128,
	ReuseAddr => 1) or die "cannot listen on $listen";
my $select = IO::Select->new($server);
my (%peer, %is_client, %mute);
$| = 1;
$SIG{PIPE} = 'IGNORE';

sub drop {
	my ($socket) = @_;
	my $other = delete $peer{$socket} or return;
	delete $peer{$other};
	for ($socket, $other) {
		$select->remove($_); delete $mute{$_}; close $_;
	}
}
# Whether the answer to the call that is passed on now is to be lost.
sub is_lost {
	open(my $f, '<', $file) or return 0;
	my $n = <$f> // '';
	close $f;
	return 0 unless $n =~ /^(\d+)/ && $1 > 0;
	open($f, '>', $file) or return 0;
	print $f $1 - 1;
	return $1 == 1;
}
while (1) {
	for my $socket ($select->can_read(1)) {
		if ($socket == $server) {
			my $client = $server->accept or next;
			my $out = IO::Socket::INET->new(PeerAddr => $target);
			if (!$out) { close $client; next; }
			$peer{$client} = $out; $peer{$out} = $client;
			$is_client{$client} = 1;
			delete $is_client{$out}; delete $mute{$out};
			$select->add($client, $out);
			next;
		}
		next unless $peer{$socket};
		my $n = sysread($socket, my $bytes, 65536);
		if (!$n) { drop($socket); next; }
		my $other = $peer{$socket};
		if ($is_client{$socket}) {
			my ($call) = $bytes =~ /^(GET \S+)/;
			if (defined $call && is_lost()) {
				$mute{$other} = 1;
				printf "%.3f %s (its answer is lost)\n", time, $call;
			} elsif (defined $call) {
				printf "%.3f %s\n", time, $call;
			}
			syswrite($other, $bytes);
		} elsif (!$mute{$socket}) {
			syswrite($other, $bytes);
		}
	}
}
