/**
 * Steps for the exchange of closings between processes, without network.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import {ClosingsExchange} from '../../src/processes/dispatch/closings.ts';
import type {PeerLinks} from '../../src/processes/dispatch/links.ts';

/** Interval of the checks of a process, in ms. */
const tickMs = 50;

/** Processes whose messages arrive at once. */
class Fleet {
	now: Milliseconds = 1000;
	readonly processes = new Map<string, ClosingsExchange>();
	readonly streams = new Map<string, Set<string>>();
	readonly sent: Array<{readonly from: string; readonly to: string}> = [];
	readonly outdated = new Set<string>();

	start(name: string, peers: readonly string[]): void {
		this.processes.set(name, this.#create(name));
		for (const peer of peers.filter(other => this.processes.has(other) && other !== name)) {
			this.#connect(name, peer);
		}
	}

	cut(left: string, right: string): void {
		this.streams.get(left)!.delete(right);
		this.streams.get(right)!.delete(left);
		this.processes.get(left)!.handleDisconnect(right);
		this.processes.get(right)!.handleDisconnect(left);
	}

	#create(name: string): ClosingsExchange {
		this.streams.set(name, new Set());
		const links: Pick<PeerLinks, 'listConnected' | 'sendMessage' | 'listDataCentres'> = {
			listConnected: () => [...this.streams.get(name)!].map(peer => ({
				name: peer, incarnation: 1, role: peer.startsWith('e') ? 'entry' : 'agent', dataCentre: 'dc', host: '', port: 1, configurationVersion: 0,
			})),
			sendMessage: (to, message) => this.#send(name, to, message),
			listDataCentres: () => new Set(['east', 'west']),
		};
		return new ClosingsExchange({
			role: name.startsWith('e') ? 'entry' : 'agent',
			links: links as PeerLinks,
			clock: {
				getTime: () => this.now,
				startTimer() {
					throw new Error('not used');
				},
				startInterval() {
					throw new Error('not used');
				},
			},
			log: {recordDecision: () => undefined},
			onChange: () => undefined,
		});
	}

	#send(from: string, to: string, message: DispatchMessage): boolean {
		if (!this.streams.get(from)!.has(to)) {
			return false;
		}

		this.sent.push({from, to});
		if (message.type === 'closings' && !this.outdated.has(to)) {
			this.processes.get(to)!.handleSet(from, message.closings);
		}

		return true;
	}

	/** Opens a stream: entries send the set to each other, and to an agent with the claim. */
	#connect(left: string, right: string): void {
		this.streams.get(left)!.add(right);
		this.streams.get(right)!.add(left);
		for (const [from, to] of [[left, right], [right, left]]) {
			const exchange = this.processes.get(from)!;
			if (from.startsWith('e') && to.startsWith('e')) {
				exchange.handleConnect(to);
			} else if (from.startsWith('e')) {
				this.processes.get(to)!.handleSet(from, exchange.set);
			}
		}
	}
}

type ExchangeWorld = {closingFleet: Fleet};

Given('entries {string} with streams to each other and to agents {string}', function (this: ExchangeWorld, entries: string, agents: string) {
	this.closingFleet = new Fleet();
	for (const name of entries.split(' ')) {
		this.closingFleet.start(name, entries.split(' '));
	}

	for (const name of agents.split(' ')) {
		this.closingFleet.start(name, entries.split(' '));
	}
});

Given('{string} has lost its streams to {string}', function (this: ExchangeWorld, name: string, peers: string) {
	for (const peer of peers.split(' ')) {
		this.closingFleet.cut(name, peer);
	}
});

Given('{string} is of an earlier build', function (this: ExchangeWorld, name: string) {
	this.closingFleet.outdated.add(name);
});

When('the store tells {string} the closings {string} of revision {int}', function (this: ExchangeWorld, name: string, closed: string, revision: number) {
	this.closingFleet.processes.get(name)!.applySet({revision, closed: closed.split(' ').filter(Boolean)}, 'store');
});

When('{string} is replaced', function (this: ExchangeWorld, name: string) {
	const peers = [...this.closingFleet.streams.get(name)!];
	for (const peer of peers) {
		this.closingFleet.cut(name, peer);
	}

	this.closingFleet.start(name, peers);
});

When('{int} ms go by at all of them', function (this: ExchangeWorld, time: Milliseconds) {
	for (const endAt = this.closingFleet.now + time; this.closingFleet.now < endAt;) {
		this.closingFleet.now += tickMs;
		for (const process of this.closingFleet.processes.values()) {
			process.advance();
		}
	}
});

Then('{string} know the closings {string}', function (this: ExchangeWorld, names: string, closed: string) {
	for (const name of names.split(' ')) {
		assert.equal(this.closingFleet.processes.get(name)!.closed.join(' '), closed, name);
	}
});

Then('{string} has sent {string} {int} messages', function (this: ExchangeWorld, from: string, to: string, count: number) {
	assert.equal(this.closingFleet.sent.filter(message => message.from === from && message.to === to).length, count);
});
