/**
 * Divides the limits of each contract among the entries by recent demand, which they exchange in small summaries.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import * as z from 'zod';
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import {advanceDemand, advanceTokens, computeEqualShare} from './state.ts';
import type {
	AdmissionState, CustomerDemand, CustomerUsage, DemandSummary, ReceivedSummary,
} from './types.ts';

/** Demand below which a customer without jobs in flight is left out of a summary, in tasks per second. */
const minDemand = 1e-6;

const maxCustomers = 100_000;
const nonNegative = z.number().min(0);

const summarySchema = z.object({
	entry: z.string().min(1).max(63),
	hearsAll: z.boolean(),
	customers: z.array(z.object({
		customer: z.string().min(1).max(63),
		demand: nonNegative,
		jobsInFlight: nonNegative,
		tasksInFlight: nonNegative,
	})).max(maxCustomers),
});

/**
 * Parses a summary received from another process.
 *
 * @param value - The decoded message.
 * @returns The summary, or what is wrong with it.
 */
export function parseSummary(value: unknown): Result<DemandSummary, string> {
	const parsed = summarySchema.safeParse(value);
	return parsed.success ? Ok(parsed.data) : Err(`demand summary: ${parsed.error.message}`);
}

function isFresh(state: AdmissionState, summary: ReceivedSummary | undefined, now: Milliseconds): summary is ReceivedSummary {
	return summary !== undefined && now - summary.receivedAt <= state.options.staleMs;
}

/** Whether this entry has a fresh summary of every other entry. */
function hasFreshSummaries(state: AdmissionState, now: Milliseconds): boolean {
	for (const summary of state.entries.values()) {
		if (!isFresh(state, summary, now)) {
			return false;
		}
	}

	return true;
}

/**
 * Checks whether every entry receives the summaries of every other, as far as this one can tell. If not,
 * shares by demand could add up to more than the contract, so equal shares are used.
 */
function isConnected(state: AdmissionState, now: Milliseconds): boolean {
	for (const summary of state.entries.values()) {
		if (!isFresh(state, summary, now) || !summary.hearsAll) {
			return false;
		}
	}

	return true;
}

/** Computes the share by demand, at least `floorShare` of an equal share; an equal share if there is no demand or not all entries are connected. */
function computeShare(state: AdmissionState, usage: CustomerUsage, remoteDemand: number, areConnected: boolean): number {
	const equalShare = computeEqualShare(state);
	const demand = usage.sentDemand + remoteDemand;
	if (!areConnected || demand < minDemand) {
		return equalShare;
	}

	return Math.max(usage.sentDemand / demand, state.options.floorShare * equalShare);
}

/** Recomputes the share of this entry; tokens are refilled at the old share and then capped at the new one. */
function updateUsage(state: AdmissionState, customer: string, usage: CustomerUsage, areConnected: boolean, now: Milliseconds): void {
	let demand = 0;
	usage.remoteJobs = 0;
	usage.remoteTasks = 0;
	for (const summary of state.entries.values()) {
		const remote = isFresh(state, summary, now) ? summary.customers.get(customer) : undefined;
		if (remote !== undefined) {
			demand += remote.demand;
			usage.remoteJobs += remote.jobsInFlight;
			usage.remoteTasks += remote.tasksInFlight;
		}
	}

	advanceTokens(usage, now);
	usage.share = computeShare(state, usage, demand, areConnected);
	advanceTokens(usage, now);
}

/** Whether the usage of a contract can be deleted: no jobs in flight, unused for `idleMs`, and its token bucket is full. */
function isIdle(state: AdmissionState, usage: CustomerUsage, now: Milliseconds): boolean {
	return usage.jobsInFlight === 0 && now - usage.lastUsedAt >= state.options.idleMs && usage.tokens >= usage.burst * usage.share;
}

function createCustomerDemand(customer: string, usage: CustomerUsage): CustomerDemand {
	return {
		customer,
		demand: usage.sentDemand,
		jobsInFlight: usage.jobsInFlight,
		tasksInFlight: usage.tasksInFlight,
	};
}

/**
 * Updates the shares, and computes the summary to send to every other entry. Must be called at a fixed
 * interval: each share is computed from the demand sent one interval earlier, which the others have received too.
 *
 * @param state - State of admission.
 * @param now - The present time.
 * @returns The summary.
 */
export function computeSummary(state: AdmissionState, now: Milliseconds): DemandSummary {
	const areConnected = isConnected(state, now);
	const customers: CustomerDemand[] = [];
	for (const [customer, usage] of state.customers) {
		updateUsage(state, customer, usage, areConnected, now);
		if (isIdle(state, usage, now)) {
			state.customers.delete(customer);
			continue;
		}

		advanceDemand(usage, state.options.demandMs, now);
		usage.sentDemand = usage.demand;
		if (usage.sentDemand >= minDemand || usage.jobsInFlight > 0) {
			customers.push(createCustomerDemand(customer, usage));
		}
	}

	return {entry: state.self, hearsAll: hasFreshSummaries(state, now), customers};
}

/**
 * Stores the summary of another entry; a summary of an entry that is not listed is ignored.
 *
 * @param state - State of admission.
 * @param summary - The summary.
 * @param now - The present time.
 */
export function applySummary(state: AdmissionState, summary: DemandSummary, now: Milliseconds): void {
	if (!state.entries.has(summary.entry)) {
		return;
	}

	state.entries.set(summary.entry, {
		hearsAll: summary.hearsAll,
		customers: new Map(summary.customers.map(demand => [demand.customer, demand])),
		receivedAt: now,
	});
}

/**
 * Sets the list of other entries.
 *
 * @param state - State of admission.
 * @param names - Names of the entries that are not dead; may include this one.
 */
export function setEntries(state: AdmissionState, names: Iterable<NodeName>): void {
	const others = new Set(names);
	others.delete(state.self);
	for (const name of state.entries.keys()) {
		if (!others.has(name)) {
			state.entries.delete(name);
		}
	}

	for (const name of others) {
		if (!state.entries.has(name)) {
			state.entries.set(name, undefined);
		}
	}
}
