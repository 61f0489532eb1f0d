/**
 * Steps of features/platform/shutdown.feature.
 */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {computeShutdown, type ShutdownTimes} from '../../src/core/bounds/shutdown.ts';

type ShutdownWorld = {times: ShutdownTimes};

When('an entry with a grace period of {int} ms is stopped', function (this: ShutdownWorld, graceMs: number) {
	this.times = computeShutdown(graceMs);
});

Then('it stays for {int} ms and gives up open jobs after {int} ms', function (this: ShutdownWorld, stayMs: number, giveUpMs: number) {
	assert.deepEqual(this.times, {stayMs, giveUpMs});
});
