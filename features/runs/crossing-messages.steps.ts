/**
 * Steps for messages between an agent and an entry that cross.
 */
import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import type {RunsWorld} from './world.ts';

Then('entry {string} is asked about {string} {int} times', function (this: RunsWorld, owner: string, task: string, count: number) {
	const asked = this.effects.filter(effect => effect.type === 'ask' && effect.owner === owner && effect.task === `${task}.0.0.0`);
	assert.equal(asked.length, count);
});
