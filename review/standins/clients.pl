#!/usr/bin/env perl
# The clients of one machine: clients.pl IP:PORT SECONDS GAP_MS LONG_EACH
# READY... Sends an unsafe request each GAP_MS on a new connection, each
# LONG_EACH-th one with long work. Asks the READY addresses of the zone's daemons
# once a second, as PROTOCOL.md says (Ingress): after two misses of the first of
# them, no new request is sent until it answers 200, unless fewer than half of
# the zone's daemons are in. Prints a line for each request: when it was sent and
# ended (Unix seconds), its status, whether a server's seal came, how it ended.
use strict;
use warnings;
use IO::Select;
use IO::Socket::INET;
use Time::HiRes qw(time);

my ($address, $seconds, $gap, $long_each, @ready) = @ARGV;
my $end = time + $seconds;
my ($next_send, $next_ask, $n) = (time, time, 0);
my (%open, %ask, @misses);
my $select = IO::Select->new;
$| = 1;
$SIG{PIPE} = 'IGNORE';

sub connect_to {
	my ($to, $text) = @_;
	my $s = IO::Socket::INET->new(PeerAddr => $to, Timeout => 1);
	return unless $s;
	syswrite($s, $text);
	$s->blocking(0);
	$select->add($s);
	return $s;
}
sub finish {
	my ($s, $how) = @_;
	my $r = delete $open{$s};
	$select->remove($s);
	close $s;
	my ($status) = $r->{in} =~ /^HTTP\/1.1 (\d+)/;
	my $seal = $r->{in} =~ /^X-Server-Seal:/mi ? 1 : 0;
	printf "id=%s sent=%.3f ended=%.3f status=%s seal=%d how=%s\n",
		$r->{id}, $r->{at}, time, $status // 0, $seal, $how;
}
@misses = (0) x @ready;
while (time < $end || %open) {
	if (time >= $next_ask && time < $end) {
		$next_ask += 1;
		for my $i (0 .. $#ready) {
			for my $old (grep { $ask{$_}[0] == $i } keys %ask) {
				$misses[$i]++;
				my $s = $ask{$old}[1];
				$select->remove($s); close $s; delete $ask{$old};
			}
			my $s = connect_to($ready[$i],
				"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
			if ($s) { $ask{$s} = [$i, $s]; } else { $misses[$i]++; }
		}
	}
	if (time >= $next_send && time < $end) {
		$next_send += $gap / 1000;
		my $in = grep { $_ < 2 } @misses;
		if ($misses[0] < 2 || $in * 2 < @ready) {
			$n++;
			my $path = $n % $long_each ? '/u/short' : '/u/long';
			my $at = time;
			my $s = connect_to($address, "POST $path HTTP/1.1\r\n"
				. "Host: a.example\r\nX-Request-Id: r-$n\r\n"
				. "X-Deadline-Ms: 5000\r\nAuthorization: Bearer "
				. "k1\r\nContent-Length: 4\r\n\r\nbody");
			if ($s) {
				$open{$s} = { id => "r-$n", at => $at, in => '',
					s => $s };
			} else {
				printf "id=r-%d sent=%.3f ended=%.3f status=0 "
					. "seal=0 how=refused\n", $n, $at, time;
			}
		}
	}
	for my $s ($select->can_read(0.005)) {
		my $got = sysread($s, my $part, 65536);
		next if !defined $got && $!{EAGAIN};
		if ($ask{$s}) {
			my $i = $ask{$s}[0];
			$misses[$i] = $got && $part =~ /^HTTP\/1.1 200/
				? 0 : $misses[$i] + 1;
			$select->remove($s); close $s; delete $ask{$s};
			next;
		}
		next unless $open{$s};
		if (!$got) { finish($s, 'closed'); next; }
		my $r = $open{$s};
		$r->{in} .= $part;
		next unless $r->{in} =~ /^(.*?\r\n)\r\n(.*)$/s;
		my ($head, $body) = ($1, $2);
		my ($length) = $head =~ /^Content-Length: *(\d+)/mi;
		finish($s, 'complete')
			if defined $length && length $body >= $length;
	}
	for my $r (values %open) {
		finish($r->{s}, 'deadline') if time - $r->{at} > 5;
	}
}
