/**
 * Steps of rendering.feature.
 */
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {describeJob} from '../../src/core/timeline/describe.ts';
import {findRenderer, renderers} from '../../src/core/timeline/renderers.ts';
import type {EventFields, TimelineEvent, TimelineReport} from '../../src/core/timeline/types.ts';

type RenderingWorld = {report: TimelineReport};

type Step = EventFields & {readonly at: number; readonly node: string};

const start = 1_700_000_000_000;
const stampsPerMs = 1024;

const submission: Step = {
	at: 0, node: 'e1', type: 'submission', customer: 'c',
};
const home: Step = {
	at: 1, node: 'e1', type: 'home', peer: 'a1',
};
const placement: Step = {
	at: 2, node: 'a1', type: 'placement', task: 0, peer: 'a2',
};
const started: Step = {
	at: 3, node: 'a2', type: 'start', task: 0,
};
const ended: Step = {
	at: 90, node: 'a2', type: 'end', task: 0, reason: 'done', duration: 87,
};
const answered: Step = {
	at: 92, node: 'e1', type: 'answer', reason: 'complete',
};
const placed: readonly Step[] = [submission, home, placement, started];

const stories: Record<string, readonly Step[]> = {
	'was refused': [submission, {
		at: 1, node: 'e1', type: 'refusal', reason: 'rate-limit',
	}],
	'waited at its home': [submission, home, {...placement, at: 900}, {...started, at: 901}],
	'lost its home': [...placed, {
		at: 50, node: 'e1', type: 'membership', peer: 'a1', reason: 'dead',
	}, {...answered, reason: 'home-lost'}],
	failed: [...placed, {...ended, reason: 'failed'}, {...answered, reason: 'task-failed'}],
	'was placed again': [...placed, {
		at: 4, node: 'a1', type: 'retry', task: 0, reason: 'queue-full',
	}, ended, answered],
	completed: [...placed, ended, answered],
	'has no events': [],
};

function createReport(steps: readonly Step[], customer?: string): TimelineReport {
	const events = steps.map(({at, ...event}, index): TimelineEvent => ({
		...event, job: 'job-1', customer: customer ?? event.customer, stamp: ((start + at) * stampsPerMs) + index,
	}));
	return {events, missing: ['a9'], incomplete: []};
}

Given(/^the events of a job that (?!has a customer)(.+)$/, function (this: RenderingWorld, story: string) {
	this.report = createReport(stories[story]);
});

Given('the events of a job that has a customer named {string}', function (this: RenderingWorld, customer: string) {
	this.report = createReport(stories.completed, customer);
});

Then(/^its explanation says "(.+)"$/, function (this: RenderingWorld, text: string) {
	const description = describeJob(this.report.events);
	assert.ok(description.includes(text), description);
});

Then('its explanation does not say {string}', function (this: RenderingWorld, text: string) {
	assert.equal(describeJob(this.report.events).includes(text), false);
});

Then('the page does not contain {string}', function (this: RenderingWorld, text: string) {
	assert.equal(renderers.html(this.report).includes(text), false);
});

Then('the page refers to no other file', function (this: RenderingWorld) {
	assert.doesNotMatch(renderers.html(this.report), /(?:src|href)=|url\(|@import/);
});

Then('the trace has {int} processes, {int} bars and {int} markers', function (this: RenderingWorld, processes: number, bars: number, markers: number) {
	const trace = JSON.parse(renderers.chrome(this.report)) as {traceEvents: Array<{ph: string}>};
	const count = (phase: string) => trace.traceEvents.filter(event => event.ph === phase).length;
	assert.deepEqual([count('M'), count('X'), count('i')], [processes, bars, markers]);
});

Then('the table has {int} lines and the JSON lines {int}', function (this: RenderingWorld, table: number, json: number) {
	assert.equal(renderers.table(this.report).trimEnd().split('\n').length, table);
	const lines = renderers.jsonl(this.report).trimEnd().split('\n').map(line => JSON.parse(line) as object);
	assert.equal(lines.length - 1, json);
	assert.deepEqual(lines.at(-1), {missing: ['a9'], incomplete: []});
});

Then('format {string} is refused as unknown', (format: string) => {
	assert.equal(findRenderer(format).unwrapErr().kind, 'unknown-format');
});
