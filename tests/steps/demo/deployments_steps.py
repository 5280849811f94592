from __future__ import annotations

from behave import then, when

from hickorybeam.demo import Deployment, Story, platform, start_fleet
from hickorybeam.demo.story import first_cause

DELAY_MS = 10.0


def told(context, name, tell):
    """Run a deployment's fleet and have its story, or a part of it, told."""
    context.story = []

    async def run():
        async with start_fleet(Deployment.load(name), delay_ms=DELAY_MS) as fleet:
            await tell(Story(fleet, context.story.append))

    try:
        context.call(run)
    except BaseExceptionGroup as group:
        raise first_cause(group) from None


@when('the story of example "{name}" is told')
def step_story(context, name):
    told(context, name, Story.tell)


@when('the first ticket of example "{name}" is in force and a region is cut at once')
def step_cut_at_once(context, name):
    async def tell(story):
        await story.first_ticket()
        await story.cut_region()

    told(context, name, tell)


@when("the story of the platform is told")
def step_platform_story(context):
    context.story = []
    context.call(platform.tell, context.story.append)


@then('the story says "{text}"')
def step_says(context, text):
    assert any(text in line for line in context.story), "\n".join(context.story)


@then('the story says "{text}" {count:d} times')
def step_says_times(context, text, count):
    assert sum(text in line for line in context.story) == count, "\n".join(context.story)
