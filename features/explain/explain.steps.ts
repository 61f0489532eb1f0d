/**
 * Steps for explaining a request from log lines.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {describeRequest, parseLogEntry} from '../../src/core/explain/logic.ts';
import type {Explanation} from '../../src/core/explain/types.ts';

type ExplainWorld = {
	lines: readonly string[];
	explanation: Explanation | undefined;
};

Given('the lines', function (this: ExplainWorld, text: string) {
	this.lines = text.split('\n');
});

When('request {string} is explained', function (this: ExplainWorld, id: string) {
	const decisions = this.lines.flatMap(line => parseLogEntry(line) ?? []);
	this.explanation = describeRequest(decisions, id);
});

Then('its log entries are {string}', function (this: ExplainWorld, events: string) {
	assert.equal(this.explanation!.decisions.map(({event}) => event).join(' '), events);
});

Then('the conclusions name {string}', function (this: ExplainWorld, text: string) {
	assert.ok(this.explanation!.conclusions.some(sentence => sentence.includes(text)), this.explanation!.conclusions.join('\n'));
});

Then('{int} lines were left out', function (this: ExplainWorld, count: number) {
	assert.equal(this.explanation!.leftOut, count);
});

Then('there is no explanation', function (this: ExplainWorld) {
	assert.equal(this.explanation, undefined);
});
