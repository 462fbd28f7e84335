#!/usr/bin/perl
# A backend server that answers at its deadline: deadline_server.pl IP:PORT ID.
# The path selects the answer:
#
#     /late/     504, 5 ms after the deadline of the request
#     /refused/  503 with X-Not-Executed
#     /deaf/     none; it runs until its connection is closed
#
# Others get 200 at once. Idle connections stay open for 30 s. Prints a line for
# each connection that it accepts, and how many requests without an answer run at
# once.
use strict;
use warnings;
use IO::Select;
use IO::Socket::INET;
use Time::HiRes qw(time);

my ($listen, $id) = @ARGV;
my $server = IO::Socket::INET->new(LocalAddr => $listen, Listen => 512,
	ReuseAddr => 1) or die "cannot listen on $listen";
my $read = IO::Select->new($server);
my (%in, %deaf, @due);
$| = 1;
$SIG{PIPE} = 'IGNORE';

sub answer {
	my ($s, $status, $headers) = @_;
	return unless defined $in{$s};
	syswrite($s, "HTTP/1.1 $status X\r\nX-Server-Seal: $id\r\n"
		. "X-Instance-Id: $id\r\nKeep-Alive: timeout=30\r\n"
		. "${headers}Content-Length: 0\r\n\r\n");
}
sub take {
	my ($s) = @_;
	while ($in{$s} =~ s/^(\S+) (\S+) [^\n]*\n(.*?)\r\n\r\n//s) {
		my ($path, $head) = ($2, "$3\r\n");
		my ($request) = $head =~ /^(X-Request-Id: *\S+\r\n)/mi;
		my ($ms) = $head =~ /^X-Deadline-Ms: *(\d+)/mi;
		$request //= '';
		if ($path =~ m{/late/}) {
			push @due, [time + ($ms + 5) / 1000, $s, $request];
		} elsif ($path =~ m{/refused/}) {
			answer($s, 503, "${request}X-Not-Executed: 1\r\n");
		} elsif ($path =~ m{/deaf/}) {
			$deaf{$s} = 1;
			print 'running ', scalar keys %deaf, "\n";
		} else {
			answer($s, 200, $request);
		}
	}
}
while (1) {
	my @readable;
	for my $s ($read->can_read(0.002)) {
		if ($s == $server) {
			my $c = $server->accept or next;
			print "accepted\n";
			$in{$c} = '';
			$read->add($c);
			next;
		}
		if (sysread($s, my $part, 65536)) {
			$in{$s} .= $part;
			push @readable, $s;
			next;
		}
		$read->remove($s);
		delete $_->{$s} for \%in, \%deaf;
		close $s;
	}
	# Closed connections count no more when the next request is counted.
	take($_) for @readable;
	my $now = time;
	answer($_->[1], 504, $_->[2]) for grep { $_->[0] <= $now } @due;
	@due = grep { $_->[0] > $now } @due;
}
