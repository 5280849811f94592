"""Mutations of what holds back odd bytes, and bytes without end, from outside."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

ODD = "gateway/odd_values.feature"
ENDLESS = "gateway/endless_bytes.feature"

MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        "a value that is nested too deeply is a refusal",
        "untrusted.py",
        "DECODER_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeDecodeError)",
        "DECODER_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError)",
        "untrusted.feature",
    ),
    Mutation(
        "what stands behind a failing step is kept",
        "gateway/pending_changes.py",
        "                raise\n",
        "                self._steps.clear()\n                raise\n",
        ODD,
        "what stands behind",
    ),
    Mutation(
        "servers are named by IP numbers",
        "sockets.py",
        "    if not valid or not is_ip_address(host) or not 0 < int(digits) <= MAX_PORT:",
        "    if not valid or not 0 < int(digits) <= MAX_PORT:",
        ODD,
        "holds back no other",
    ),
    Mutation(
        "an item is refused by itself",
        "platform/replies.py",
        "decode_json(raw, _Item))\n        except InvalidBytesError as exc:",
        "decode_json(raw, _Item))\n        except KeyError as exc:",
        ODD,
        "an item that can't be read",
    ),
    Mutation(
        "an entry that is refused removes no other server",
        "gateway/known_entries.py",
        "            server_id = key.removeprefix(SERVER_PREFIX)\n",
        '            server_id = key.rpartition("/")[2]\n',
        ODD,
        "holds back no other",
    ),
    Mutation(
        "a closed connection may take no option",
        "http1/caller_connection.py",
        "        with contextlib.suppress(OSError):\n            sock.setsockopt(",
        "        if sock:\n            sock.setsockopt(",
        ODD,
        "a caller that leaves",
    ),
    Mutation(
        "numbers of headers have few digits",
        "http1/values.py",
        "    return int(digits) if digits.isdigit() and len(digits) <= MAX_DIGITS else None",
        "    return int(digits) if digits.isdigit() else None",
        "untrusted.feature",
        "odd values of headers",
    ),
    Mutation(
        "a head has a bound",
        "http1/upstream.py",
        "        if self._head is None and bounds.other_bytes > MAX_HEAD_BYTES:",
        "        if self._head is None and bounds.other_bytes < 0:",
        ENDLESS,
        "a server's answer without end -- @1",
    ),
    Mutation(
        "framing has a bound",
        "http1/message_bounds.py",
        "        return has_excess or self._trailer_bytes > MAX_FRAMING_BYTES",
        "        return False",
        ENDLESS,
        "a server's answer without end -- @2",
    ),
    Mutation(
        "a body without a length has a bound",
        "gateway/whole_responses.py",
        "                if declared is None and size > MAX_UNDECLARED_BODY_BYTES:",
        "                if declared is None and size < 0:",
        ENDLESS,
        "a server's answer without end -- @2",
    ),
    Mutation(
        "a parser is fed in turns",
        "http1/paced_reader.py",
        "PIECE_BYTES = 32_768",
        "PIECE_BYTES = 1 << 30",
        ENDLESS,
        "a (stream|request|server's answer) without end",
    ),
    Mutation(
        "a rejection's body is not waited for",
        "gateway/attempt.py",
        "await self._conn.read_body(max_bytes=MAX_DRAINED_BYTES)",
        "await self._conn.read_body()",
        ENDLESS,
        "without end|an order whose answer never ends",
    ),
    Mutation(
        "a large body with a length is passed on",
        "gateway/whole_responses.py",
        "            while declared is None or declared <= MAX_HELD_BODY_BYTES or head is None:",
        "            while True:",
        ENDLESS,
        "large answers are passed on",
    ),
    Mutation(
        "the body behind an offer of another protocol is read",
        "http1/request_parser.py",
        "        if self.refused or (self._parser.should_upgrade() and not self._reads_again):",
        "        if self.refused:",
        "gateway/input.feature",
        "offers another protocol",
    ),
    Mutation(
        "a reload sets the limit of a drain",
        "gateway/reload.py",
        "        self._kernel.set_drain_limit(drain_limit_ms(cfg.gateway))\n",
        "",
        "gateway/reload.feature",
        "a shutdown takes",
    ),
    Mutation(
        "a VM's refusal bears its mark",
        "gateway/relay.py",
        "refusal_headers=((HOP_NOT_RUN, NO_SERVER_ASKED),) if is_for_peers else ()",
        "refusal_headers=()",
        "gateway/regions.feature",
        "refuses unread",
    ),
    Mutation(
        "a forwarded head may be longer",
        "gateway/relay.py",
        "header_bytes=limits.header_bytes + MAX_HOP_HEADER_BYTES",
        "header_bytes=limits.header_bytes",
        "gateway/regions.feature",
        "just within the limit",
    ),
)
