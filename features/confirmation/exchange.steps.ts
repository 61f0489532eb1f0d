/**
 * Steps for entries that exchange what they know of the newest configuration, without network.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Err, Ok, type Result} from 'ts-results-es';
import {computeConfirmationLimits} from '../../src/core/bounds/logic.ts';
import {
	checkConfirmation, recordReport, recordStoreAnswer, removeReport,
} from '../../src/core/confirmation/logic.ts';
import {createConfirmationState, type ConfirmationState} from '../../src/core/confirmation/state.ts';
import type {Confirmation} from '../../src/core/confirmation/types.ts';
import type {ConnectedPeer} from '../../src/core/links/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage, VersionMessage} from '../../src/ports/dispatch-messages.ts';
import type {Store, StoreEntry, StoreError} from '../../src/ports/store.ts';
import {ConfigurationSource} from '../../src/processes/dispatch/configuration.ts';
import {VersionExchange} from '../../src/processes/dispatch/version-exchange.ts';
import {waitFor} from '../../src/processes/shared/wait.ts';
import {TestClock} from '../contracts/clock.ts';

/** Interval of the checks of an entry, and of the fake store's look for a change, in ms. */
const tickMs = 50;

const firstVersion = 7;
const refused: Err<StoreError> = Err({kind: 'unavailable', message: 'refused'});

type FleetEntry = {readonly source: ConfigurationSource; readonly exchange: VersionExchange; readonly streams: Set<string>; readonly seen: Set<Confirmation>};

/** Entries with a store that turns some of them away; messages arrive at once. */
class VersionFleet {
	readonly clock = new TestClock();
	readonly entries = new Map<string, FleetEntry>();
	readonly turnedAway = new Set<string>();
	/** Announcements that have been written and have not arrived. */
	readonly announcements: Array<{readonly from: string; readonly to: string; readonly version: number}> = [];
	version = firstVersion;
	losesTexts = false;
	queries = 0;

	constructor(names: readonly string[], configurationMs: Milliseconds) {
		for (const name of names) {
			this.#addEntry(name, configurationMs);
		}
	}

	async start(): Promise<void> {
		for (const {source} of this.entries.values()) {
			void source.watchStore();
		}

		await this.clock.advance(tickMs);
	}

	writeAnnouncements(left: string, right: string): void {
		for (const [from, to] of [[left, right], [right, left]]) {
			this.announcements.push({from, to, version: this.entries.get(from)!.source.version});
		}
	}

	deliverAnnouncements(): void {
		for (const {from, to, version} of this.announcements.splice(0)) {
			this.entries.get(to)!.streams.add(from);
			this.entries.get(to)!.exchange.handleConnect(createPeer(from, version));
		}
	}

	cut(left: string, right: string): void {
		for (const [from, to] of [[left, right], [right, left]]) {
			this.entries.get(from)!.streams.delete(to);
			this.entries.get(from)!.exchange.handleDisconnect(to);
		}
	}

	async pass(time: Milliseconds): Promise<void> {
		for (const endAt = this.clock.getTime() + time; this.clock.getTime() < endAt;) {
			await this.clock.advance(tickMs);
			for (const {exchange, seen} of this.entries.values()) {
				exchange.advance();
				seen.add(exchange.checkConfirmation());
			}
		}
	}

	#addEntry(name: string, configurationMs: Milliseconds): void {
		const {clock} = this;
		const streams = new Set<string>();
		const bounds = {
			maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs, remoteFactor: 1.5,
		};
		const log = {recordDecision: () => undefined};
		const source = new ConfigurationSource({
			store: this.#createStore(name), key: 'op/config', clock, log, bounds, decode: text => ({version: Number(text), routes: [], limits: {maxBodyBytes: 1}}), onChange(version) {
				exchange.shareVersion(version);
			},
		});
		const exchange = new VersionExchange({
			configuration: source, bounds, clock, log, links: {
				listConnected: () => [...streams].map(peer => createPeer(peer, 0)),
				sendMessage: (to, message) => streams.has(to) && this.#deliver(name, to, message),
				countEntriesToAsk: () => this.entries.size - 1,
			},
		});
		this.entries.set(name, {
			source, exchange, streams, seen: new Set(),
		});
	}

	#deliver(from: string, to: string, message: DispatchMessage): boolean {
		this.queries += message.type === 'query-version' ? 1 : 0;
		const isLost = (message.type === 'configuration' && this.losesTexts) || !this.entries.get(to)!.streams.has(from);
		if (!isLost) {
			this.entries.get(to)!.exchange.handleMessage(from, message as VersionMessage);
		}

		return true;
	}

	#createStore(name: string): Store {
		const read = async (): Promise<Result<StoreEntry, StoreError>> => this.turnedAway.has(name) ? refused : Ok({revision: this.version, value: String(this.version), at: this.version});
		return {
			readKey: read,
			watchKey: async (_key, after, timeout) => {
				for (const endAt = this.clock.getTime() + timeout; this.clock.getTime() < endAt && this.version <= after && !this.turnedAway.has(name);) {
					await waitFor(this.clock, tickMs);
				}

				return read();
			},
			writeKey: async () => refused,
		};
	}
}

type ExchangeWorld = {
	versionFleet: VersionFleet;
	confirmationState: ConfirmationState;
	otherEntries: number;
	boundMs: Milliseconds;
	now: Milliseconds;
};

function createPeer(name: string, configurationVersion: number): ConnectedPeer {
	return {
		name, incarnation: 1, role: 'entry', dataCentre: 'dc', host: '', port: 1, configurationVersion, reportsVersions: true,
	};
}

function splitNames(names: string): readonly string[] {
	return names.split(' ');
}

Given(/^entries "(.+)" (with streams to each other|without streams), and a bound of (\d+) ms$/, async function (this: ExchangeWorld, names: string, streams: string, bound: string) {
	this.versionFleet = new VersionFleet(splitNames(names), Number(bound));
	await this.versionFleet.start();
	for (const [index, left] of streams.startsWith('with ') ? splitNames(names).entries() : []) {
		for (const right of splitNames(names).slice(index + 1)) {
			this.versionFleet.writeAnnouncements(left, right);
		}
	}

	this.versionFleet.deliverAnnouncements();
});

Given('{string} and {string} have lost their stream', function (this: ExchangeWorld, left: string, right: string) {
	this.versionFleet.cut(left, right);
});

When('the store turns away {string}', function (this: ExchangeWorld, names: string) {
	for (const name of splitNames(names)) {
		this.versionFleet.turnedAway.add(name);
	}
});

When('the store answers {string}', function (this: ExchangeWorld, name: string) {
	this.versionFleet.turnedAway.delete(name);
});

When('an operator writes version {int}', async function (this: ExchangeWorld, version: number) {
	this.versionFleet.version = version;
	// Those that the store answers apply it before the next step.
	await this.versionFleet.clock.advance(tickMs);
});

When('{string} and {string} write their announcements', function (this: ExchangeWorld, left: string, right: string) {
	this.versionFleet.writeAnnouncements(left, right);
});

When('the announcements arrive', function (this: ExchangeWorld) {
	this.versionFleet.deliverAnnouncements();
});

When('texts of configurations are lost', function (this: ExchangeWorld) {
	this.versionFleet.losesTexts = true;
});

When('{int} s go by at the entries', {timeout: 60_000}, async function (this: ExchangeWorld, seconds: number) {
	await this.versionFleet.pass(seconds * 1000);
});

Then('{string} have been {string} all the while', function (this: ExchangeWorld, names: string, state: Confirmation) {
	for (const name of splitNames(names)) {
		assert.deepEqual([...this.versionFleet.entries.get(name)!.seen], [state], name);
	}
});

Then('{string} are {string}', function (this: ExchangeWorld, names: string, state: Confirmation) {
	for (const name of splitNames(names)) {
		assert.equal(this.versionFleet.entries.get(name)!.exchange.checkConfirmation(), state, name);
	}
});

Then('{string} have version {int}', function (this: ExchangeWorld, names: string, version: number) {
	for (const name of splitNames(names)) {
		assert.equal(this.versionFleet.entries.get(name)!.source.version, version, name);
	}
});

Then('no entry has asked another one', function (this: ExchangeWorld) {
	assert.equal(this.versionFleet.queries, 0);
});

Given('an entry with {int} other entries that may live, and a bound of {int} ms', function (this: ExchangeWorld, others: number, bound: Milliseconds) {
	this.confirmationState = createConfirmationState();
	this.otherEntries = others;
	this.boundMs = bound;
	this.now = 100_000;
});

When('nothing has confirmed its configuration for {int} ms, nor at {int} others', function (this: ExchangeWorld, age: Milliseconds, answering: number) {
	recordStoreAnswer(this.confirmationState, this.now - age);
	for (let index = 0; index < answering; index++) {
		recordReport(this.confirmationState, `e${index}`, {version: firstVersion, askedAt: this.now, unconfirmedMs: age}, firstVersion);
	}
});

When('another entry with version {int} tells that nothing has confirmed it for {int} ms', function (this: ExchangeWorld, version: number, age: Milliseconds) {
	recordReport(this.confirmationState, 'other', {version, askedAt: this.now, unconfirmedMs: age}, firstVersion);
});

When('the stream to it is lost', function (this: ExchangeWorld) {
	removeReport(this.confirmationState, 'other', firstVersion);
});

When('{int} ms later no other entry has answered again', function (this: ExchangeWorld, time: Milliseconds) {
	this.now += time;
});

Then('it is {string}', function (this: ExchangeWorld, state: Confirmation) {
	const {boundMs, otherEntries, now} = this;
	const limits = computeConfirmationLimits({configurationMs: boundMs});
	assert.equal(checkConfirmation(this.confirmationState, {
		version: firstVersion, otherEntries, limits, now,
	}), state);
});
