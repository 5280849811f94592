from __future__ import annotations

from behave import given, then, when

from hickorybeam.policy.stream_answers import OwnKnowledge, StreamAnswers, VmAnswer
from hickorybeam.policy.stream_versions import (
    DIGEST_BYTES,
    UNKNOWN_VERSION,
    StreamVersions,
    ToldStreams,
    stream_digest,
    version_key,
)
from hickorybeam.policy.version_history import VersionHistory

SERVICE = "model"
# Revision at which a VM that has just started has read all entries.
FIRST_READ = 100


def names(text):
    return [name.strip() for name in text.split(",") if name.strip()]


def key_of(version):
    return version_key(SERVICE, version)


def begin(context, streams, version, left_s):
    for name in streams:
        context.stream_table.record(
            stream_digest(name), key_of(version), keep_ms=left_s * 1000, now_ms=context.now_ms
        )


@given("a table of streams")
@given("a table of streams for {count:d} entries")
def step_table(context, count=65_536):
    context.now_ms = 1_000_000
    context.stream_table = StreamVersions(max_streams=count)
    for audience in ("near", "far"):
        context.stream_table.take_untold(audience, context.now_ms)


@when('streams "{streams}" of version "{version}" begin with {left:d} s left')
def step_begin(context, streams, version, left):
    begin(context, names(streams), version, left)


@when("{count:d} streams begin with {left:d} s left")
def step_many_begin(context, count, left):
    begin(context, [f"one of {count}: {number}" for number in range(count)], "v1", left)


@when('another VM tells streams "{streams}" of version "{version}" with {left:d} s left')
def step_told(context, streams, version, left):
    digests = b"".join(stream_digest(name) for name in names(streams))
    told = [ToldStreams(key_of(version), left, digests)]
    context.stream_table.merge(told, context.now_ms, vm="other")


@when("{seconds:d} s pass for the table")
def step_time_passes(context, seconds):
    context.now_ms += seconds * 1000


def find(context, name, table=None):
    known = (table or context.stream_table).find(stream_digest(name), context.now_ms)
    return known and known.version_key


@then('streams "{streams}" are known as "{version}"')
def step_known(context, streams, version):
    for name in names(streams):
        assert find(context, name) == key_of(version), name


@then('streams "{streams}" are unknown')
def step_unknown(context, streams):
    for name in names(streams):
        assert find(context, name) is None, name


@then("the table has {count:d} entries")
def step_entries(context, count):
    context.stream_table.find(b"", context.now_ms)
    assert len(context.stream_table) == count, len(context.stream_table)


def told_count(told):
    return sum(len(it.digests) for it in told) // DIGEST_BYTES


@then('the table tells "{audience}" {count:d} streams of {versions:d} versions, then none')
@then('the table tells "{audience}" {count:d} streams of {versions:d} version, then {rest:d}')
def step_tells(context, audience, count, versions, rest=0):
    context.told = context.stream_table.take_untold(audience, context.now_ms)
    assert told_count(context.told) == count, context.told
    assert len(context.told) == versions
    assert told_count(context.stream_table.take_untold(audience, context.now_ms)) == rest


@then('another table that is told them knows "{first}" as "{one}" and "{second}" as "{other}"')
def step_other_table(context, first, one, second, other):
    table = StreamVersions()
    table.merge(context.told, context.now_ms, vm="other")
    for streams, version in ((first, one), (second, other)):
        for name in names(streams):
            assert find(context, name, table) == key_of(version), name


@then('the key of version "" is the unknown one')
def step_unknown_key(context):
    assert key_of("") == UNKNOWN_VERSION


@then('versions "{one}" and "{other}" have different keys')
def step_different_keys(context, one, other):
    assert key_of(one) != key_of(other)


@then('version "{version}" of two services has different keys')
def step_different_services(context, version):
    assert version_key("one", version) != version_key("two", version)


def sole_of(text):
    """Return what a VM says of a service's only version."""
    match text:
        case "nothing":
            return None
        case "several":
            return UNKNOWN_VERSION
        case version:
            return key_of(version)


@when('this VM says "{own}", the store confirms {word}, and others answer "{answers}"')
@when('this VM says "{own}", the store confirms {word}, and others answer ""')
def step_answers(context, own, word, answers=""):
    found = names(answers)
    context.answers = StreamAnswers(map(str, range(len(found))))
    is_new = own == "nothing"
    remembers = not is_new and not own.endswith(" lately")
    own = own.removesuffix(" lately")
    context.own = OwnKnowledge(
        key_of("v1") if is_new else sole_of(own),
        is_new=is_new,
        confirmed_age_ms={"it": 10, "nothing": None, "it later": None}[word],
        store_is_heard=word != "it later",
        followed_from=FIRST_READ if is_new else 0,
        remembers=remembers,
    )
    context.answers.note_asked(map(str, range(len(found))))
    for number, answer in enumerate(found):
        if answer == "silent":
            continue
        known, sole = answer.removesuffix(" earlier").split("/")
        key = UNKNOWN_VERSION if known in ("-", "both") else key_of(known)
        assert not context.answers.heard_all([str(number)])
        complete_to = FIRST_READ - 1 if answer.endswith("earlier") else FIRST_READ
        context.answers.add(
            VmAnswer(
                str(number),
                key,
                sole_of(sole),
                disputed=known == "both",
                complete_to=complete_to,
            )
        )
        assert context.answers.heard_all([str(number)])


@then('the stream\'s version is "{version}"')
def step_concluded(context, version):
    expected = None if version == "-" else key_of(version)
    word = context.answers.conclude(context.own)
    assert (word and word.key) == expected, word


@given("a history of versions")
def step_history(context):
    context.now_ms = 1_000_000
    context.history = VersionHistory()


@when('servers of version "{version}" come "{count:d}"')
def step_servers_come(context, version, count):
    for _ in range(count):
        context.history.add(SERVICE, key_of(version))


@when('servers of version "{version}" go "{count:d}"')
def step_servers_go(context, version, count):
    for _ in range(count):
        context.history.remove(SERVICE, key_of(version), context.now_ms)


@when("{seconds:d} s pass for the history")
def step_history_time(context, seconds):
    context.now_ms += seconds * 1000


@then('the sole version is "{version}"')
def step_sole(context, version):
    assert context.history.sole(SERVICE, context.now_ms) == key_of(version)


@then("there was no sole version")
def step_no_sole(context):
    assert context.history.sole(SERVICE, context.now_ms) == UNKNOWN_VERSION


@when("{count:d} versions come and go, one each {seconds:d} s")
def step_versions_pass(context, count, seconds):
    for number in range(count):
        context.history.add(SERVICE, key_of(f"v{number}"))
        context.history.remove(SERVICE, key_of(f"v{number}"), context.now_ms)
        context.now_ms += seconds * 1000


@then("{count:d} version that is gone is kept")
def step_gone_kept(context, count):
    assert context.history.gone_count() == count, context.history.gone_count()
