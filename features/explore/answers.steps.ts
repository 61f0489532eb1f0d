/**
 * Steps for the checks of answers in the emulator.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {AnswerChecks} from '../../bench/emulator/answer-checks.ts';
import {TaskTrace} from '../../bench/emulator/trace.ts';
import {createEventQueue, type EventQueue} from '../../bench/event-queue.ts';
import type {JobOutcome} from '../../src/core/dispatch/types.ts';

type AnswersWorld = {
	events: EventQueue;
	checks: AnswerChecks;
	job: string;
	taskCount: number;
};

/** Time between two events, in ms. */
const stepMs = 10;

/** What happens to a job, by the beginning of its description. */
const eventPatterns: ReadonlyArray<readonly [RegExp, (world: AnswersWorld, position: string) => void]> = [
	[/^task (\d) starts$/, ({checks, job}, position) => {
		checks.recordStart(`${job}.0.0.${position}`, 1, 'w1');
	}],
	[/^task (\d) is done$/, ({checks, job}, position) => {
		checks.recordDone(`${job}.0.0.${position}`);
	}],
	[/^the job is submitted again$/, ({checks, job}) => {
		checks.recordSubmission(job);
	}],
	[/^nothing else happens$/, () => undefined],
];

function applyEvents(world: AnswersWorld, list: string): void {
	for (const text of list.split(', ')) {
		const [pattern, apply] = eventPatterns.find(([candidate]) => candidate.test(text))!;
		world.events.runUntil(world.events.getTime() + stepMs);
		apply(world, pattern.exec(text)![1]);
	}
}

Given('the job {string} of {int} tasks is submitted', function (this: AnswersWorld, job: string, taskCount: number) {
	this.events = createEventQueue(0);
	this.checks = new AnswerChecks(this.events, new TaskTrace(this.events, undefined));
	this.job = job;
	this.taskCount = taskCount;
	this.checks.recordSubmission(job);
});

When('these events follow: {string}', function (this: AnswersWorld, list: string) {
	applyEvents(this, list);
});

When(/^it is answered (not-run|given-up|completed)$/, function (this: AnswersWorld, outcome: JobOutcome) {
	this.events.runUntil(this.events.getTime() + stepMs);
	this.checks.checkAnswer(this.job, {outcome, reason: 'none', retryAfter: 0}, this.taskCount);
});

Then('{int} answers are untrue', function (this: AnswersWorld, count: number) {
	assert.equal(this.checks.violations.length, count, this.checks.violations.join('\n'));
});
