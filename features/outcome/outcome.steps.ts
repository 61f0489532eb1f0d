/**
 * Steps of the outcome feature.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	homeOptions, Simulation, type NetworkFaults, type SimCaller,
} from './simulation.ts';

type OutcomeWorld = {
	simulation: Simulation;
	caller: SimCaller;
};

Given('a fleet of {int} agents', function (this: OutcomeWorld, count: number) {
	this.simulation = new Simulation(1, count);
});

Given('a job of {int} tasks with a deadline of {int} ms', function (this: OutcomeWorld, tasks: number, deadline: number) {
	this.caller = this.simulation.addCaller(this.simulation.agents[0], tasks, deadline);
});

type FaultHandler = (simulation: Simulation, caller: SimCaller) => void;

function submitAndRun(simulation: Simulation, caller: SimCaller): void {
	simulation.submit(caller);
	simulation.run(60);
}

function fillHome(simulation: Simulation): void {
	const home = simulation.agents[0];
	for (let count = 0; count < homeOptions.maxJobs; count++) {
		simulation.submit(simulation.addCaller(home, 1, 10_000));
	}

	simulation.run(10);
}

const faults: Record<string, FaultHandler> = {
	'it is submitted': submitAndRun,
	'it is submitted at two entries at the same moment'(simulation, caller) {
		simulation.submit(caller, 'entry-1');
		simulation.submit(caller, 'entry-2');
	},
	'it is submitted again after its answer'(simulation, caller) {
		simulation.submit(caller);
		simulation.run(1900);
		simulation.submit(caller, 'entry-2');
	},
	'it is submitted again under another body'(simulation, caller) {
		submitAndRun(simulation, caller);
		simulation.run(1500);
		simulation.submit({...caller, request: {...caller.request, digest: 'other'}});
	},
	'every message is doubled'(simulation, caller) {
		simulation.faults.duplication = 1;
		simulation.submit(caller);
	},
	'the home restarts before it is submitted'(simulation, caller) {
		simulation.run(100);
		simulation.restart(simulation.agents[0]);
		simulation.submit(caller);
	},
	'the home restarts while it runs and it is sent again'(simulation, caller) {
		submitAndRun(simulation, caller);
		simulation.restart(simulation.agents[0]);
		simulation.submit(caller, 'entry-2');
	},
	'it is submitted after its window'(simulation, caller) {
		simulation.run(homeOptions.windowMs + 1);
		simulation.submit(caller);
	},
	'it is submitted again after its window'(simulation, caller) {
		simulation.submit(caller);
		simulation.run(homeOptions.windowMs + 100);
		simulation.submit(caller);
	},
	'its id comes from a clock that is 5000 ms ahead'(simulation, caller) {
		const ahead = {...caller, parts: {...caller.parts, mintedAt: caller.parts.mintedAt + 5000}};
		simulation.submit(ahead);
	},
	'it is cancelled before it is submitted'(simulation, caller) {
		simulation.call(caller, 'cancel');
		simulation.run(50);
		simulation.submit(caller);
	},
	'it is refused, and a late submission arrives'(simulation, caller) {
		simulation.call(caller, 'refuse');
		simulation.run(50);
		simulation.submit(caller, 'entry-2');
	},
	'the home is full'(simulation, caller) {
		fillHome(simulation);
		simulation.submit(caller);
		simulation.run(4000);
		simulation.submit(caller, 'entry-2');
	},
	'the home is full and can store no more refusals'(simulation, caller) {
		fillHome(simulation);
		const home = simulation.agents[0];
		for (let count = 0; count < homeOptions.maxRefusals; count++) {
			simulation.call(simulation.addCaller(home, 1, 1000), 'refuse');
		}

		simulation.run(10);
		simulation.submit(caller);
	},
	'one of its tasks fails'(simulation, caller) {
		simulation.failingTasks.add(`${caller.id}#7`);
		simulation.submit(caller);
	},
	'every other agent is killed while it runs'(simulation, caller) {
		submitAndRun(simulation, caller);
		simulation.kill(simulation.agents[1]);
		simulation.kill(simulation.agents[2]);
	},
	'every other agent is frozen past its deadline'(simulation, caller) {
		submitAndRun(simulation, caller);
		simulation.freeze(simulation.agents[1]);
		simulation.freeze(simulation.agents[2]);
		simulation.run(3000);
		simulation.resume(simulation.agents[1]);
		simulation.resume(simulation.agents[2]);
	},
	'its deadline passes while it runs'(simulation, caller) {
		simulation.runTimeMs = 300;
		simulation.submit(caller);
	},
};

const faultPattern = new RegExp(`^(${Object.keys(faults).map(name => new RegExp(name.replaceAll(/[.,]/g, String.raw`\$&`)).source).join('|')})$`);

When(faultPattern, function (this: OutcomeWorld, fault: string) {
	faults[fault](this.simulation, this.caller);
});

When('the fleet runs on for {int} ms', function (this: OutcomeWorld, duration: number) {
	this.simulation.run(duration);
	this.simulation.assertInvariants();
});

Then('the caller received {string} with reason {string}', function (this: OutcomeWorld, outcome: string, reason: string) {
	const answer = this.caller.answers.at(-1);
	assert.ok(answer, 'the caller received no answer');
	assert.equal(answer.outcome, outcome);
	assert.equal(answer.outcome === 'complete' ? '-' : answer.reason, reason);
});

Then('{int} tasks were started', function (this: OutcomeWorld, starts: number) {
	assert.equal(this.simulation.countStarts(this.caller.id), starts);
});

Then('up to {int} tasks were started', function (this: OutcomeWorld, starts: number) {
	assert.ok(this.simulation.countStarts(this.caller.id) <= starts);
});

Given('a fleet of {int} agents under random faults with seed {int}', function (this: OutcomeWorld, count: number, seed: number) {
	const shift = Number(process.env.SEED ?? 0);
	this.simulation = new Simulation(seed + shift, count);
	Object.assign(this.simulation.faults, {loss: 0.1, duplication: 0.1, maxDelay: 80} satisfies NetworkFaults);
});

type RandomAction = (simulation: Simulation, callers: SimCaller[]) => void;

function chooseCaller(simulation: Simulation, callers: SimCaller[]): SimCaller | undefined {
	return callers[simulation.random.getInteger(Math.max(1, callers.length))];
}

function callRandomJob(type: 'query' | 'cancel' | 'refuse'): RandomAction {
	return (simulation, callers) => {
		const caller = chooseCaller(simulation, callers);
		if (caller !== undefined) {
			simulation.call(caller, type, `entry-${simulation.random.getInteger(3)}`);
		}
	};
}

function chooseAgent(simulation: Simulation) {
	return simulation.agents[simulation.random.getInteger(simulation.agents.length)];
}

const addRandomJob: RandomAction = (simulation, callers) => {
	const caller = simulation.addCaller(chooseAgent(simulation), 1 + simulation.random.getInteger(12), 500 + simulation.random.getInteger(2500));
	if (simulation.random.getFloat() < 0.1) {
		simulation.failingTasks.add(`${caller.id}#0`);
	}

	callers.push(caller);
	simulation.submit(caller);
};

const resubmit: RandomAction = (simulation, callers) => {
	const caller = chooseCaller(simulation, callers);
	if (caller !== undefined) {
		simulation.submit(caller, `entry-${simulation.random.getInteger(3)}`);
	}
};

const agentActions: readonly RandomAction[] = [
	simulation => {
		const agent = chooseAgent(simulation);
		simulation.kill(agent);
		simulation.run(200);
		simulation.restart(agent);
	},
	simulation => {
		simulation.freeze(chooseAgent(simulation));
	},
	simulation => {
		simulation.resume(chooseAgent(simulation));
	},
];

const actions: readonly RandomAction[] = [
	addRandomJob,
	addRandomJob,
	resubmit,
	resubmit,
	resubmit,
	callRandomJob('query'),
	callRandomJob('cancel'),
	callRandomJob('refuse'),
];

/** Share of the random actions that hit an agent instead of a job. */
const agentFaultShare = 0.03;

When('{int} jobs are submitted, resubmitted, queried, cancelled and refused at random', function (this: OutcomeWorld, count: number) {
	const {simulation} = this;
	const callers: SimCaller[] = [];
	while (callers.length < count) {
		const table = simulation.random.getFloat() < agentFaultShare ? agentActions : actions;
		table[simulation.random.getInteger(table.length)](simulation, callers);
		simulation.run(simulation.random.getInteger(40));
		simulation.assertInvariants();
	}

	for (const agent of simulation.agents) {
		simulation.resume(agent);
	}
});

Then('the invariants held throughout the run', function (this: OutcomeWorld) {
	this.simulation.run(homeOptions.windowMs * 2);
	this.simulation.assertInvariants();
});

Then('each outcome occurred at least once', function (this: OutcomeWorld) {
	const outcomes = new Set([...this.simulation.callers.values()].flatMap(({answers}) => answers.map(({outcome}) => outcome)));
	assert.deepEqual([...outcomes].sort(), ['complete', 'failed', 'not-run', 'unknown']);
});
