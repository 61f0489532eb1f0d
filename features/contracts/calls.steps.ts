/**
 * Steps of calls.feature; with the environment variable `PRINT_CALLS` the counts are printed.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Then} from '@cucumber/cucumber';
import {
	applyContract, simulation, storeKey, type FleetWorld,
} from './world.ts';

Then('at most {int} processes watch the store', function (this: FleetWorld, limit: number) {
	assert.ok(this.contractFleet.service.countWatches() <= limit, String(this.contractFleet.service.countWatches()));
});

async function countCalls({contractFleet: fleet}: FleetWorld, seconds: number, each: (second: number) => Promise<void> = async () => undefined): Promise<number> {
	const before = fleet.service.countCalls().total;
	const start = fleet.clock.getTime();
	for (let second = 0; second < seconds; second++) {
		await each(second);
		await fleet.clock.advance(start + ((second + 1) * 1000) - fleet.clock.getTime());
	}

	return fleet.service.countCalls().total - before;
}

function checkCalls(world: FleetWorld, calls: number, limit: number, what: string): void {
	world.contractFleet.logLines.push(`${world.contractFleet.processes.size} processes: ${calls} calls ${what}`);
	assert.ok(calls <= limit, `${calls} calls ${what}`);
}

Then('at most {int} calls are made in {int} s without a change', simulation, async function (this: FleetWorld, limit: number, seconds: number) {
	checkCalls(this, await countCalls(this, seconds), limit, 'without a change');
});

Then('at most {int} calls are made in {int} s while the store is down', simulation, async function (this: FleetWorld, limit: number, seconds: number) {
	this.contractFleet.service.setFaults({outage: true});
	checkCalls(this, await countCalls(this, seconds), limit, 'while the store is down');
});

Then('at most {int} of these calls fall into the same {int} ms', simulation, async function (this: FleetWorld, limit: number, span: number) {
	const {clock, service} = this.contractFleet;
	let highest = 0;
	for (let waited = 0; waited < 10_000; waited += span) {
		const before = service.countCalls().total;
		await clock.advance(span);
		highest = Math.max(highest, service.countCalls().total - before);
	}

	checkCalls(this, highest, limit, `within ${span} ms while the store is down`);
});

Then('at most {int} calls are made in the first {int} s after its return', simulation, async function (this: FleetWorld, limit: number, seconds: number) {
	this.contractFleet.service.setFaults({outage: false});
	checkCalls(this, await countCalls(this, seconds), limit, 'after its return');
});

Then('at most {int} calls are made in {int} s with {int} changes', simulation, async function (this: FleetWorld, limit: number, seconds: number, changes: number) {
	const calls = await countCalls(this, seconds, async second => {
		if (second < changes) {
			await applyContract(this);
		}
	});
	checkCalls(this, calls, limit, `with ${changes} changes`);
});

Then('at most {int} calls are made in {int} s while the store answers other revisions in turn', simulation, async function (this: FleetWorld, limit: number, seconds: number) {
	const {state} = this.contractFleet.service;
	const calls = await countCalls(this, seconds, async () => {
		for (let write = 0; write < 5; write++) {
			state.setKey(storeKey, this.documents[write % this.documents.length]);
			await this.contractFleet.clock.advance(100);
		}
	});
	checkCalls(this, calls, limit, 'while the store answers other revisions in turn');
	if (process.env.PRINT_CALLS !== undefined) {
		process.stdout.write(`${this.contractFleet.logLines.filter(line => line.includes(' calls ')).join('\n')}\n`);
	}
});
