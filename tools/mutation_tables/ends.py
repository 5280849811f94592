"""Mutations of how ends of servers count that nobody saw a connection close for."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

POLICY = "policy/crash_evidence.feature"
UNSEEN = "gateway/unseen_ends.feature"
SOUND = "gateway/sound_requests.feature"
REPEATED = "gateway/repeated_requests.feature"
DISPATCH = "dispatch/crashed_calls.feature"
EVIDENCE = "policy/crash_evidence.py"
SUSPECTS = "policy/crash_suspects.py"
COUNTS = "policy/crash_counts.py"
ENDS = "gateway/crashes/server_ends.py"
PROBE = "gateway/crashes/server_probe.py"
RECORDER = "gateway/crashes/recorder.py"
BLOCKS = "gateway/crashes/part_blocks.py"
CALLS = "dispatch/crashed_calls.py"
LEFT = "given up before .*@1.1 "
LEFT_ORDER = "given up before .*@1.2 "
SILENT = "fall silent reaches .*@1.2 "
SOME = "half of the servers .*@1.1 "
BACK = "are back within .*@1.1 "
SAME_ID = "start again under their id .*@1.2 "
COPIES = "three copies .*@1.2 "
ALL_VMS = "ends that all VMs saw .*@1.2 "
CUT = "servers behind a cut .*@1.1 "

MUTATIONS: tuple[Mutation, ...] = (
    # rules
    Mutation(
        "few answers of each server clear a request",
        SUSPECTS,
        "min(count, MAX_SOUND_OF_SERVER) for",
        "count for",
        POLICY,
        "fifteen of one server",
    ),
    Mutation(
        "many answers of one server clear a request",
        SUSPECTS,
        " or sound.total() >= ANY_SOUND_TO_CLEAR_REQUEST",
        "",
        POLICY,
        "sixteen of one server",
    ),
    Mutation(
        "eight answers clear a request",
        SUSPECTS,
        "SOUND_TO_CLEAR_REQUEST = 8\nMAX",
        "SOUND_TO_CLEAR_REQUEST = 7\nMAX",
        POLICY,
    ),
    Mutation(
        "what was sent before a block does not lift it",
        EVIDENCE,
        "(suspect.blocked and not is_trial)",
        "False",
        POLICY,
        "what servers answer once it is blocked",
    ),
    Mutation(
        "a trial that is answered lifts a block",
        EVIDENCE,
        "list(suspect.crashes) if is_trial else",
        "",
        POLICY,
        "what servers answer once it is blocked",
    ),
    Mutation(
        "silent servers count only if they were heard after the first one",
        COUNTS,
        "        case Trait.LAPSED:\n            return False\n",
        "",
        POLICY,
        "servers that fall silent count",
    ),
    Mutation(
        "undecided ends do not block",
        SUSPECTS,
        "return [crash for crash in self.crashes.values() if not crash.is_undecided]",
        "return list(self.crashes.values())",
        POLICY,
        "is held until that is known",
    ),
    Mutation(
        "a request with three silent servers is held",
        SUSPECTS,
        "return count_followed(likely) >= MIN_CRASHES_UNDER_REQUEST",
        "return False",
        POLICY,
        "is held until that is known",
    ),
    Mutation(
        "a request that servers answer is not held",
        SUSPECTS,
        " or self.answered_ms >= min(silent_ms)",
        "",
        POLICY,
        "that servers answer meanwhile",
    ),
    Mutation(
        "a hold ends",
        SUSPECTS,
        "crash.trait is Trait.SILENT and now_ms - crash.at_ms <= MAX_UNDECIDED_MS",
        "crash.trait is Trait.SILENT",
        POLICY,
        "is held until that is known",
    ),
    Mutation(
        "servers that come back as they were have not ended",
        EVIDENCE,
        "changes += self._clear(key, suspect, found)",
        "pass",
        POLICY,
        "come back as they were",
    ),
    Mutation(
        "a server that only seemed to end counts when it does",
        SUSPECTS,
        "return self.add(doubtful_digest(server, crash.at_ms), crash)",
        "return self.add(server, crash)",
        POLICY,
        "only slow counts",
    ),
    Mutation(
        "copies sent at once count each where nothing else ended",
        COUNTS,
        "        case Trait.ALONE:\n            return True\n",
        "",
        POLICY,
        "copies sent at once",
    ),
    Mutation(
        "requests that no server answers are judged first",
        EVIDENCE,
        "for it in sorted(suspects, key=self._answered_ms):",
        "for it in suspects:",
        POLICY,
        "for the ends of one that they never do",
    ),
    Mutation(
        "a blocked request clears others that servers answer",
        EVIDENCE,
        "changes += self._exonerate(it, suspect)",
        "pass",
        POLICY,
        "for the ends of one that they never do",
    ),
    # connections
    Mutation(
        "a request that was given up is a suspect",
        ENDS,
        "*self._recently_left(server_state)])",
        "])",
        UNSEEN,
        LEFT,
    ),
    Mutation(
        "a server is looked at after a request there was given up",
        ENDS,
        "        self._look(server_state, closed=False, sent_ms=request.sent_ms)\n",
        "",
        UNSEEN,
        LEFT_ORDER,
    ),
    Mutation(
        "the close of an idle connection tells of an end",
        ENDS,
        "self._pool.on_idle_closed = self._record_idle_closed",
        "pass",
        UNSEEN,
        "where nobody else asks .*@1.1 ",
    ),
    Mutation(
        "a silent server's end is told",
        "gateway/request_handler.py",
        "on_undecided=part_blocks.recorder.record_undecided,",
        "",
        UNSEEN,
        SILENT,
    ),
    Mutation(
        "a lapsed entry confirms an end",
        RECORDER,
        "routing_state.on_unlisted = self._record_unlisted",
        "pass",
        UNSEEN,
        SAME_ID,
    ),
    Mutation(
        "a request of which ends are known goes out on a new connection",
        "gateway/sender.py",
        "progress.was_unheard or self._part_blocks.needs_proof(request)",
        "progress.was_unheard",
        UNSEEN,
        "goes out on a new connection",
    ),
    Mutation(
        "one whole response wipes no end",
        SUSPECTS,
        "if outweighs(self.sound[crashed])]",
        "]",
        UNSEEN,
        SOME,
    ),
    Mutation(
        "a server that takes connections again is asked who it is",
        PROBE,
        "return ServerEnd.ENDED if is_replaced else ServerEnd.REPLACED",
        "return ServerEnd.REPLACED",
        UNSEEN,
        BACK,
    ),
    Mutation(
        "a connection opened after a break shows no life",
        "gateway/crashes/server_presence.py",
        "if self._has_connection(server_state, look.since_ms):",
        "if self._has_connection(server_state, self._clock.now() + 1):",
        UNSEEN,
        "that many ask, has ended",
    ),
    Mutation(
        "a request may explain all servers that ended at once",
        ENDS,
        "trait = Trait.ALONE if it.request.outline() in alone else end.trait",
        "trait = end.trait",
        UNSEEN,
        COPIES,
    ),
    Mutation(
        "ends are recorded in the store",
        RECORDER,
        "        self._on_ended(is_repeated)\n",
        "",
        UNSEEN,
        ALL_VMS,
    ),
    Mutation(
        "records of ends are read",
        BLOCKS,
        ", *self._suspect_records.apply(batch)]",
        "]",
        UNSEEN,
        ALL_VMS,
    ),
    Mutation(
        "a VM that starts with the store away asks what is blocked",
        BLOCKS,
        "feed.bootstrap.before_apply = self._fetch_suspects",
        "pass",
        REPEATED,
        "a VM that starts with the store away knows .*@1.2",
    ),
    Mutation(
        "a popular request is no suspect of silence",
        RECORDER,
        "if is_popular and not it.was_open:",
        "if False:",
        SOUND,
    ),
    Mutation(
        "a request that was given up is forgotten",
        ENDS,
        "            while left and now",
        "            while False and left and now",
        SOUND,
        "is forgotten",
    ),
    Mutation(
        "an entry of an earlier server shows no end of a later one",
        "gateway/routing_state.py",
        "it.listed_ms > state.listed_ms for",
        "True for",
        SOUND,
        "yet to lapse",
    ),
    # the other interface
    Mutation(
        "a blocked call is refused",
        CALLS,
        "if key not in self._evidence.blocked:",
        "if True:",
        DISPATCH,
        "repeats one after .*@1.1 ",
    ),
    Mutation(
        "a server that lives has not ended under a call",
        CALLS,
        "        if is_gone:\n",
        "        if True:\n",
        DISPATCH,
        "break off at engines that live",
    ),
    Mutation(
        "a call that its caller left is a suspect",
        "dispatch/attempts.py",
        "services.crashed_calls.record_left(running.call, server, sent_ms)",
        "pass",
        DISPATCH,
        "repeats one after .*@1.4 ",
    ),
    Mutation(
        "a call that two servers ended under is not sent again",
        "dispatch/attempts.py",
        "if self._services.crashed_calls.is_suspected(self._running.call):",
        "if False:",
        DISPATCH,
        "repeats one after .*@1.3 ",
    ),
    Mutation(
        "ends under calls are told",
        CALLS,
        "self._members().publish(NOTE_NAME, note, urgent=True)",
        "pass",
        DISPATCH,
        "a VM that is told",
    ),
    Mutation(
        "whole answers clear a call",
        "dispatch/attempts.py",
        "services.crashed_calls.record_whole(call, server, is_trial=self._is_trial)",
        "pass",
        DISPATCH,
        "again and again is cleared",
    ),
    Mutation(
        "a stuck server that takes connections is asked",
        PROBE,
        "if not look.closed and self._identity.may_ask(server_state, vms=vms):",
        "if False:",
        UNSEEN,
        "servers hang with their port open .*@1.2 ",
    ),
    Mutation(
        "an end under an answered request follows only the one before it",
        COUNTS,
        "and crash.alive_ms >= previous_ms",
        "",
        POLICY,
        "of one moment that two VMs saw|requests? that servers answer count",
    ),
    Mutation(
        "a silent stream that is left is looked at",
        ENDS,
        "if request.proven and now - server_state.heard_ms < SILENCE_MS:",
        "if request.proven:",
        UNSEEN,
        "caller leaves once it is silent .*@1.1 ",
    ),
)
