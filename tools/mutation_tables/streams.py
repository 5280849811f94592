"""Mutations of how a stream keeps the version that began it: the rules, and what connects them."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

POLICY = "policy/stream_versions.feature"
GATEWAY = "gateway/stream_versions.feature"
LOOKUPS = "gateway/stream_lookups.feature"
OUT_OF_STEP = "gateway/stream_out_of_step.feature"
CONFIRMATION = "gateway/store_confirmation.feature"
TAKEN_UP = "that its caller takes up .*@1.2"
INSIDE = "inside one answer keeps its version .*@1.1"
HOP_INSIDE = "inside one answer keeps its version .*@1.5"
ELSEWHERE = "only that one has servers"
COORDINATOR = "a placement coordinator grants"
CRASHED = "after its VM crashes .*@1.1"

MUTATIONS: tuple[Mutation, ...] = (
    # rules
    Mutation(
        "a stream told with two versions is unknown",
        "policy/stream_versions.py",
        'span[digest] = KnownStream(UNKNOWN_VERSION, "", now_ms)',
        "span[digest] = stream",
        POLICY,
    ),
    Mutation(
        "two entries of a stream agree",
        "policy/stream_versions.py",
        "if len({it.version_key for it in found}) != 1:",
        "if not found:",
        POLICY,
    ),
    Mutation(
        "the table of streams is bounded",
        "policy/stream_versions.py",
        "while self._count > self._max_streams:",
        "while False:",
        POLICY,
    ),
    Mutation(
        "entries of streams end",
        "policy/stream_versions.py",
        "for end in [end for end in self._spans if end * SPAN_MS <= now_ms]:",
        "for end in []:",
        POLICY,
    ),
    Mutation(
        "a version counts after its last server",
        "policy/version_history.py",
        "        self._gone[service][key] = now_ms\n",
        "",
        POLICY,
    ),
    Mutation(
        "one VM that knows two versions outweighs the others",
        "policy/stream_answers.py",
        "return self._vms_by_sole.keys() <= {None, own.sole}",
        "return True",
        POLICY,
    ),
    Mutation(
        "a VM that nobody answers concludes nothing",
        "policy/stream_answers.py",
        "if self._is_cut_off or not self.may_be_sole(own):",
        "if not self.may_be_sole(own):",
        POLICY,
    ),
    Mutation(
        "without the store a silent VM does not agree",
        "policy/stream_answers.py",
        "if self._silent or own.is_new:",
        "if own.is_new:",
        POLICY,
    ),
    Mutation(
        "without the store a VM that has just started does not agree",
        "policy/stream_answers.py",
        "return self._vms_by_sole.keys() <= {own.sole}",
        "return True",
        POLICY,
    ),
    Mutation(
        "the store's word does not reach back before the first read",
        "policy/stream_answers.py",
        "return self._followed_to.get(own.sole, 0) >= own.followed_from",
        "return bool(self._vms_by_sole)",
        POLICY,
    ),
    Mutation(
        "the store's word is from after the question",
        "gateway/store_confirmation.py",
        "        return self._next\n",
        "        return self._current\n",
        CONFIRMATION,
    ),
    Mutation(
        "what the store shows is applied before it counts",
        "gateway/feed.py",
        "            self._receive(batch)\n\n    async def _follow_source",
        "            pass\n\n    async def _follow_source",
        OUT_OF_STEP,
        "reach the store 1500 ms late",
    ),
    Mutation(
        "a batch that is known already undoes nothing",
        "gateway/feed.py",
        "        if batch.revision <= self.history.complete_to:\n            return\n",
        "",
        CONFIRMATION,
    ),
    # connections
    Mutation(
        "the first event binds a request",
        "gateway/sender.py",
        "                request.version_key = key\n",
        "",
        GATEWAY,
        INSIDE,
    ),
    Mutation(
        "streams that begin are recorded",
        "gateway/sender.py",
        "                self._stream_origins.record_begun(request, key)\n",
        "",
        GATEWAY,
        TAKEN_UP,
    ),
    Mutation(
        "a stream that is taken up is bound",
        "gateway/request_handler.py",
        "        if is_taken_up(request):",
        "        if False:",
        GATEWAY,
        TAKEN_UP,
    ),
    Mutation(
        "servers of the region are chosen by version",
        "gateway/target_selector.py",
        "        if request.version_key is not None:\n            servers",
        "        if False:\n            servers",
        GATEWAY,
        TAKEN_UP,
    ),
    Mutation(
        "other regions are chosen by version",
        "gateway/remote_selector.py",
        "if request.version_key is not None and not self._servers.has_version(",
        "if False and not self._servers.has_version(",
        GATEWAY,
        "where only some regions have servers",
    ),
    Mutation(
        "a forwarded request brings its version",
        "gateway/forwarding/hop.py",
        "    if request.version_key is not None:\n",
        "    if False:\n",
        GATEWAY,
        ELSEWHERE,
    ),
    Mutation(
        "a forwarded request's version is read",
        "gateway/forwarding/hop.py",
        "        version_key=hop_version(req.headers),\n",
        "",
        GATEWAY,
        ELSEWHERE,
    ),
    Mutation(
        "the other region's VM tells the version",
        "gateway/sender.py",
        "return (*headers, (HOP_VERSION, key.hex().encode()))",
        "return headers",
        GATEWAY,
        "inside one answer keeps its version .*@1.4",
    ),
    Mutation(
        "a response of another version is not passed on",
        "gateway/sender.py",
        "        if request.version_key not in (None, key):\n",
        "        if False:\n",
        GATEWAY,
        "a VM of another region that ignores the version",
    ),
    Mutation(
        "a version's key is for VMs only",
        "gateway/sender.py",
        "    headers = without_hop_headers(response_headers(head.headers))\n    if not",
        "    headers = response_headers(head.headers)\n    if not",
        GATEWAY,
        "callers don't get the key",
    ),
    Mutation(
        "the placement coordinator is told the version",
        "gateway/placement/client.py",
        "            version_key=request.version_key,\n",
        "",
        GATEWAY,
        COORDINATOR,
    ),
    Mutation(
        "the placement coordinator reads the version",
        "gateway/placement/coordinator.py",
        "        version_key=message.version_key,\n",
        "",
        GATEWAY,
        COORDINATOR,
    ),
    Mutation(
        "a grant at another version is not used",
        "gateway/placement/client.py",
        "        if version_key not in (None, server_state.version_key):\n",
        "        if False:\n",
        GATEWAY,
        "a placement coordinator that ignores the version",
    ),
    Mutation(
        "reports tell of streams",
        "gateway/fleet.py",
        "streams=[] if with_levels else self._untold_streams(audience),",
        "streams=[],",
        GATEWAY,
        CRASHED,
    ),
    Mutation(
        "streams that reports tell of are recorded",
        "gateway/report_receiver.py",
        "        self._stream_versions.merge(report.streams, now_ms, vm=report.name)\n",
        "",
        GATEWAY,
        CRASHED,
    ),
    Mutation(
        "questions about streams are answered",
        "gateway/request_handler.py",
        "        self._fleet.on_message(StreamQuestion, self._stream_origins.handle_question)\n",
        "",
        LOOKUPS,
        "at a VM that has to ask",
    ),
    Mutation(
        "answers about streams arrive",
        "gateway/request_handler.py",
        "        self._fleet.on_message(StreamAnswer, self._stream_origins.handle_answer)\n",
        "",
        LOOKUPS,
        "at a VM that has to ask",
    ),
    Mutation(
        "another version is another start of a server",
        "gateway/routing_state.py",
        "return (old.born_ms, old.service, old.version) == (new.born_ms, new.service, new.version)",
        "return (old.born_ms, old.service) == (new.born_ms, new.service)",
        GATEWAY,
        "a server whose entry changes its version",
    ),
    Mutation(
        "copies come from the same version",
        "gateway/prefix_copies.py",
        "        if holder.version_key != server_state.version_key:",
        "        if False:",
        GATEWAY,
        "shared parts are copied",
    ),
    Mutation(
        "new streams don't wait behind those of a full version",
        "gateway/placement/service_queue.py",
        "return queue if version_key is None else queue.of_version(version_key)",
        "return queue",
        "gateway/service_queue.feature",
        "wait for a version|wait for a full version",
    ),
    Mutation(
        "a free slot is offered to streams that wait for a version",
        "gateway/placement/service_queue.py",
        "            queue.record_departure()\n        self._wake_front(0)",
        "            pass\n        self._wake_front(0)",
        "gateway/service_queue.feature",
        "offered to the streams",
    ),
    Mutation(
        "a stream that has begun may go to a server that seems full",
        "gateway/target_selector.py",
        "return untried, with_room or [it for it in untried if it.may_take_begun(now_ms)]",
        "return untried, with_room",
        GATEWAY,
        CRASHED,
    ),
    Mutation(
        "a VM that has just started can't tell of versions before",
        "gateway/stream_origins.py",
        "return now_ms - self._started_ms < HISTORY_MS",
        "return False",
        LOOKUPS,
        "a VM has just started",
    ),
    Mutation(
        "where the store is silent all VMs are asked",
        "gateway/stream_origins.py",
        "            self._send(message, rest)\n",
        "            pass\n",
        OUT_OF_STEP,
        "go on at the only version",
    ),
)
