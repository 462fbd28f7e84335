#!/usr/bin/perl
# Relays HTTP between callers and one server: answer_relay.pl IP:PORT SERVER FILE.
# While FILE exists, its content takes the place of the status line of each
# answer. Answers of the server must have a Content-Length.
use strict;
use warnings;
use IO::Select;
use IO::Socket::INET;

my ($listen, $server, $file) = @ARGV;
my $listener = IO::Socket::INET->new(LocalAddr => $listen, Listen => 512,
	ReuseAddr => 1) or die "cannot listen on $listen";
my $select = IO::Select->new($listener);
# The other end of each connection, and what the server's ends have sent.
my (%peer, %answers);
$SIG{PIPE} = 'IGNORE';

sub drop {
	my ($s) = @_;
	my @ends = grep { defined } $s, $peer{$s};
	for my $end (@ends) {
		$select->remove($end);
		delete $peer{$end};
		delete $answers{$end};
		close $end;
	}
}
sub accept_caller {
	my $caller = $listener->accept or return;
	my $s = IO::Socket::INET->new(PeerAddr => $server);
	if (!$s) { close $caller; return; }
	$peer{$caller} = $s;
	$peer{$s} = $caller;
	$answers{$s} = '';
	$select->add($caller, $s);
}
# Takes a whole answer from the bytes of a server; undef without one.
sub take_answer {
	my ($s) = @_;
	my $end = index $answers{$s}, "\r\n\r\n";
	return if $end < 0;
	my $len = $end + 4;
	$len += $1 if substr($answers{$s}, 0, $len) =~ /^Content-Length: *(\d+)/mi;
	return if length $answers{$s} < $len;
	return substr $answers{$s}, 0, $len, '';
}
sub replace_status_line {
	my ($answer) = @_;
	open my $f, '<:raw', $file or return $answer;
	local $/;
	my $line = <$f>;
	$answer =~ s/^[^\r]*/$line/;
	return $answer;
}
while (1) {
	my @readable = $select->can_read(1);
	for my $s (@readable) {
		if ($s == $listener) { accept_caller(); next; }
		next unless $peer{$s};
		my $n = sysread $s, my $part, 65536;
		if (!$n) { drop($s); next; }
		if (!defined $answers{$s}) { syswrite $peer{$s}, $part; next; }
		$answers{$s} .= $part;
		while (defined $answers{$s} && defined(my $answer = take_answer($s))) {
			syswrite $peer{$s}, replace_status_line($answer);
		}
	}
}
