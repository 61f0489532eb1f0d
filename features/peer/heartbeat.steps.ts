/**
 * Steps of the feature about heartbeats of streams.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	chooseHeartbeatAction, createContactState, isContactExpired, recordContact, recordHeartbeatSent, recordMessagesSent, type ContactState, type HeartbeatAction, type HeartbeatOptions,
} from '../../src/adapters/peer/heartbeat.ts';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import type {Timings} from '../../src/core/bounds/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';

type HeartbeatWorld = {
	timings: Timings;
	options: HeartbeatOptions;
	sentAt: Milliseconds[];
	silentFrom: Milliseconds;
	closedAt: Milliseconds | undefined;
	isRefused: boolean;
};

Given('one-way streams with the time limits of a resubmission after {int} ms', function (this: HeartbeatWorld, resubmitMs: number) {
	this.timings = computeTimings({
		resubmitMs, maxLeaseMs: 1000, stopMs: 50, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1,
	});
	this.options = {
		heartbeatMs: this.timings.streamCheckMs,
		heartbeatTimeoutMs: this.timings.silenceMs,
		idleHeartbeatMs: this.timings.heartbeatMs,
		quiet: {heartbeatMs: this.timings.quietHeartbeatMs, timeoutMs: this.timings.quietSilenceMs},
	};
	this.sentAt = [];
	this.closedAt = undefined;
});

/** Checks a stream at each interval; `onCheck` is called with each action. */
function runChecks(
	world: HeartbeatWorld,
	lengthMs: Milliseconds,
	beforeCheck: (state: ContactState, from: Milliseconds, to: Milliseconds) => void,
	onCheck: (action: HeartbeatAction, state: ContactState, now: Milliseconds) => void,
): void {
	const state = createContactState(0);
	const {heartbeatMs} = world.options;
	for (let now = heartbeatMs; now <= lengthMs; now += heartbeatMs) {
		beforeCheck(state, now - heartbeatMs, now);
		onCheck(chooseHeartbeatAction('one-way', state, world.options, now), state, now);
	}
}

function sendFrames(world: HeartbeatWorld, periodMs: Milliseconds, lengthMs: Milliseconds): void {
	runChecks(world, lengthMs, (state, _from, now) => {
		recordContact(state, now);
		state.lastSentAt = Math.max(state.lastSentAt, Math.floor(now / periodMs) * periodMs);
	}, (action, state, now) => {
		if (action === 'send') {
			state.lastSentAt = now;
			world.sentAt.push(now);
		}
	});
}

When('a stream is idle for {int} ms', function (this: HeartbeatWorld, lengthMs: number) {
	sendFrames(this, lengthMs * 2, lengthMs);
});

When('a stream sends a frame every {int} ms for {int} ms', function (this: HeartbeatWorld, periodMs: number, lengthMs: number) {
	sendFrames(this, periodMs, lengthMs);
});

Then('it has sent at most {int} heartbeats', function (this: HeartbeatWorld, count: number) {
	assert.ok(this.sentAt.length <= count, `${this.sentAt.length} heartbeats`);
});

Then('no gap between two of its heartbeats exceeds half of the contact time', function (this: HeartbeatWorld) {
	const gaps = this.sentAt.map((at, index) => at - (this.sentAt[index - 1] ?? 0));
	assert.ok(gaps.length > 0 && Math.max(...gaps) <= this.timings.contactMs / 2, `gaps up to ${Math.max(...gaps)} ms`);
});

/** Receives heartbeats at their interval, each moved by `getDelay`; a negative delay loses it. */
function receiveHeartbeats(world: HeartbeatWorld, phase: Milliseconds, getDelay: (sentAt: Milliseconds) => Milliseconds): void {
	const arrivals: Milliseconds[] = [];
	for (let sentAt = phase; sentAt < 5000; sentAt += world.timings.heartbeatMs) {
		const delay = getDelay(sentAt);
		if (delay >= 0) {
			// A stream delivers in order: what follows a late heartbeat arrives after it.
			arrivals.push(Math.max(sentAt + delay, arrivals.at(-1) ?? 0));
		}
	}

	runChecks(world, 5000, (state, from, to) => {
		for (const at of arrivals) {
			if (at > from && at <= to) {
				recordContact(state, at);
			}
		}
	}, (action, _state, now) => {
		if (action === 'close') {
			world.closedAt ??= now;
		}
	});
}

When('the other side falls silent {int} ms after a check', function (this: HeartbeatWorld, after: number) {
	this.silentFrom = (this.timings.heartbeatMs * 10) + after;
	receiveHeartbeats(this, after, sentAt => sentAt > this.silentFrom ? -1 : 0);
});

Then('the stream is closed within the contact time, and not before {int} ms of silence', function (this: HeartbeatWorld, least: number) {
	const silence = this.closedAt! - this.silentFrom;
	assert.ok(silence >= least && silence <= this.timings.contactMs, `closed after ${silence} ms`);
});

When('one heartbeat of the other side arrives {int} ms late', function (this: HeartbeatWorld, delay: number) {
	let count = 0;
	receiveHeartbeats(this, 45, () => ++count === 5 ? delay : 0);
});

Then('the stream stays open', function (this: HeartbeatWorld) {
	assert.equal(this.closedAt, undefined);
});

When('a stream has received nothing for {int} ms, then data arrives', function (this: HeartbeatWorld, silence: number) {
	this.isRefused = isContactExpired('one-way', createContactState(0), this.options, silence);
});

Then(/^the data is (accepted|refused)$/, function (this: HeartbeatWorld, decision: string) {
	assert.equal(this.isRefused, decision === 'refused');
});

/** Lists when a stream sends heartbeats that is quiet until some time; the other side sends its own at each check. */
function listHeartbeats(world: HeartbeatWorld, quietUntil: Milliseconds, lengthMs: Milliseconds): Milliseconds[] {
	const state = createContactState(0);
	const {heartbeatMs} = world.options;
	const sentAt: Milliseconds[] = [];
	for (let now = heartbeatMs; now <= lengthMs; now += heartbeatMs) {
		recordContact(state, now);
		if (chooseHeartbeatAction('one-way', state, world.options, now, () => now < quietUntil) === 'send') {
			recordHeartbeatSent(state, now < quietUntil, now);
			sentAt.push(now);
		}
	}

	return sentAt;
}

When('a stream is quiet for {int} ms', function (this: HeartbeatWorld, lengthMs: number) {
	this.sentAt = listHeartbeats(this, Number.POSITIVE_INFINITY, lengthMs);
});

Then('no gap between two of its heartbeats exceeds the time without data after which it is closed', function (this: HeartbeatWorld) {
	const gaps = this.sentAt.map((at, index) => at - (this.sentAt[index - 1] ?? 0));
	assert.ok(Math.max(...gaps) <= this.timings.silenceMs, `gaps up to ${Math.max(...gaps)} ms`);
});

When('a stream is quiet for {int} ms, and a task is offered on it {int} ms later', function (this: HeartbeatWorld, lengthMs: number, after: number) {
	const lastQuiet = listHeartbeats(this, Number.POSITIVE_INFINITY, lengthMs).at(-1)!;
	this.silentFrom = lastQuiet + after;
	this.sentAt = listHeartbeats(this, this.silentFrom, lengthMs + 1000);
});

Then('its next heartbeat follows within {int} ms', function (this: HeartbeatWorld, most: number) {
	const next = this.sentAt.find(at => at >= this.silentFrom)!;
	assert.ok(next - this.silentFrom <= most, `after ${next - this.silentFrom} ms`);
});

/** Delay of an offer after the last heartbeat of the other side; undefined for other messages. */
const offerDelays: Readonly<Record<string, Milliseconds | undefined>> = {
	'sends nothing': undefined, 'sends its load': undefined, 'offers a task 100 ms later': 100, 'offers a task 900 ms later': 900,
};

When(/^a stream gets a quiet heartbeat, (.*), and then no data$/, function (this: HeartbeatWorld, sends: string) {
	const state = createContactState(0);
	const offerAt = offerDelays[sends];
	recordContact(state, 0, true);
	if (sends === 'sends its load') {
		recordMessagesSent(state, false, 0);
	}

	for (let now = this.options.heartbeatMs; this.closedAt === undefined && now < 5000; now += this.options.heartbeatMs) {
		if (offerAt !== undefined && now > offerAt) {
			recordMessagesSent(state, true, offerAt);
		}

		this.closedAt = chooseHeartbeatAction('one-way', state, this.options, now) === 'close' ? now : undefined;
	}
});

Then('the stream is closed after more than {int} and at most {int} ms of silence', function (this: HeartbeatWorld, least: number, most: number) {
	assert.ok(this.closedAt! > least && this.closedAt! <= most, `closed after ${this.closedAt} ms`);
});
