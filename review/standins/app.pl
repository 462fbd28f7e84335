#!/usr/bin/env perl
# Application server: app.pl IP:PORT ID SERVICE WORK_MS BYTES [LONG_MS]. Follows
# PROTOCOL.md: health, X-Expect-Instance, X-Server-Seal, X-Request-Id. Runs each
# request for WORK_MS, those with /long in their path for LONG_MS, and answers
# with BYTES bytes. Prints a line for each request that it runs, for each answer
# that it has written and for each connection that ended before the answer.
# A request with /poison in its path crashes the server when it begins to run
# it: all connections are reset and the port is closed. It is back BACK_MS (7th
# argument) later, knows nothing of before, and is cold for 3 s.
use strict;
use warnings;
use IO::Socket::INET;
use IO::Select;
use Socket qw(SOL_SOCKET SO_LINGER);
use Time::HiRes qw(time);

my ($listen, $id, $service, $work_ms, $bytes, $long_ms, $back_ms) = @ARGV;
my ($server, $read, $write, %in, %out, @jobs, %socket);
my $cold_until = 0;
sub open_server {
	$server = IO::Socket::INET->new(LocalAddr => $listen, Listen => 512,
		ReuseAddr => 1) or die "cannot listen on $listen";
	$read = IO::Select->new($server);
	$write = IO::Select->new;
}
open_server();
$| = 1;
$SIG{PIPE} = 'IGNORE';

sub drop {
	my ($s) = @_;
	$read->remove($s); $write->remove($s);
	delete $in{$s}; delete $out{$s}; delete $socket{$s};
	close $s;
}
sub crash {
	printf "%.3f crash\n", time;
	for my $s (values %socket) {
		setsockopt($s, SOL_SOCKET, SO_LINGER, pack('ii', 1, 0));
	}
	close $server;
	drop($_) for values %socket;
	@jobs = ();
	select(undef, undef, undef, $back_ms / 1000);
	open_server();
	$cold_until = time + 3;
	printf "%.3f back\n", time;
}
sub answer {
	my ($s, $status, $headers, $body) = @_;
	return unless defined $in{$s};
	$out{$s} .= "HTTP/1.1 $status\r\n${headers}Content-Length: "
		. length($body) . "\r\nKeep-Alive: timeout=10\r\n\r\n$body";
	$write->add($s);
}
sub take {
	my ($s) = @_;
	while ($in{$s} =~ /^(.*?\r\n)\r\n/s) {
		my $head = $1;
		my ($length) = $head =~ /^Content-Length: *(\d+)/mi;
		my $all = length($head) + 2 + ($length // 0);
		return if length($in{$s}) < $all;
		substr($in{$s}, 0, $all) = '';
		my ($method, $path) = $head =~ /^(\S+) (\S+)/;
		my ($request) = $head =~ /^X-Request-Id: *(\S+)/mi;
		my ($expected) = $head =~ /^X-Expect-Instance: *(\S+)/mi;
		if ($path eq '/health') {
			my $cold = int(($cold_until - time) * 1000);
			answer($s, '200 OK', "X-Instance-Id: $id\r\n"
				. ($cold > 0 ? "X-Cold-Ms: $cold\r\n" : ''), '');
		} elsif (defined $expected && $expected ne $id) {
			answer($s, '421 Misdirected Request',
				"X-Instance-Id: $id\r\n", '');
		} else {
			$request //= '-';
			my ($tenant) = $head =~ /^X-Tenant: *(\S+)/mi;
			printf "%.3f run id=%s method=%s path=%s tenant=%s\n",
				time, $request, $method, $path, $tenant // '-';
			if ($path =~ m{/poison}) { crash(); return; }
			my $ms = $path =~ m{/long} ? $long_ms : $work_ms;
			push @jobs, [time + $ms / 1000, $s, $request];
			@jobs = sort { $a->[0] <=> $b->[0] } @jobs;
		}
	}
}
while (1) {
	my $wait = @jobs ? $jobs[0][0] - time : 1;
	$wait = 0 if $wait < 0;
	my ($r, $w) = IO::Select->select($read, $write, undef, $wait);
	for my $s (@{$r // []}) {
		if ($s == $server) {
			my $c = $server->accept or next;
			$c->blocking(0);
			$in{$c} = $out{$c} = '';
			$socket{$c} = $c;
			$read->add($c);
			next;
		}
		next unless defined $in{$s};
		my $n = sysread($s, my $part, 65536);
		next if !defined $n && $!{EAGAIN};
		if (!$n) { drop($s); next; }
		$in{$s} .= $part;
		take($s);
	}
	for my $s (@{$w // []}) {
		next unless defined $out{$s};
		my $n = syswrite($s, $out{$s});
		if (!defined $n) { drop($s) unless $!{EAGAIN}; next; }
		substr($out{$s}, 0, $n) = '';
		$write->remove($s) if $out{$s} eq '';
	}
	while (@jobs && $jobs[0][0] <= time) {
		my ($at, $s, $request) = @{shift @jobs};
		if (!defined $in{$s}) {
			printf "%.3f cut id=%s\n", time, $request;
			next;
		}
		printf "%.3f answer id=%s\n", time, $request;
		answer($s, '200 OK', "X-Request-Id: $request\r\n"
			. "X-Server-Seal: $id.$request.$bytes\r\n",
			'x' x $bytes);
	}
}
