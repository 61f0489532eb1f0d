/**
 * Divides each contract among the entries by their recent demand, through small summaries.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import * as z from 'zod';
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import {advanceDemand, advanceTokens, computeEqualShare} from './state.ts';
import type {
	AdmissionState, CustomerDemand, CustomerUsage, DemandSummary, ReceivedSummary,
} from './types.ts';

/** Demand below which a customer is not told of, in tasks per second. */
const minDemand = 1e-6;

const maxCustomers = 100_000;
const count = z.number().min(0);

const summarySchema = z.object({
	entry: z.string().min(1).max(63),
	hearsAll: z.boolean(),
	customers: z.array(z.object({
		customer: z.string().min(1).max(63),
		demand: count,
		jobsInFlight: count,
		tasksInFlight: count,
	})).max(maxCustomers),
});

/**
 * Reads a summary as received from another process.
 *
 * @param value - The decoded message.
 * @returns The summary, or what is wrong with it.
 */
export function parseSummary(value: unknown): Result<DemandSummary, string> {
	const parsed = summarySchema.safeParse(value);
	return parsed.success ? Ok(parsed.data) : Err(`demand summary: ${parsed.error.message}`);
}

function isFresh(state: AdmissionState, heard: ReceivedSummary | undefined, now: Milliseconds): heard is ReceivedSummary {
	return heard !== undefined && now - heard.receivedAt <= state.options.staleMs;
}

function hasHeardAll(state: AdmissionState, now: Milliseconds): boolean {
	for (const heard of state.entries.values()) {
		if (!isFresh(state, heard, now)) {
			return false;
		}
	}

	return true;
}

/**
 * Answers whether every entry hears every other, as far as this one knows. Otherwise shares by demand
 * could add up to more than the contract, and equal shares are used.
 */
function isConnected(state: AdmissionState, now: Milliseconds): boolean {
	for (const heard of state.entries.values()) {
		if (!isFresh(state, heard, now) || !heard.hearsAll) {
			return false;
		}
	}

	return true;
}

function computeShare(state: AdmissionState, usage: CustomerUsage, remoteDemand: number, areConnected: boolean): number {
	const equalShare = computeEqualShare(state);
	const demand = usage.sentDemand + remoteDemand;
	if (!areConnected || demand < minDemand) {
		return equalShare;
	}

	return Math.max(usage.sentDemand / demand, state.options.floorShare * equalShare);
}

function updateUsage(state: AdmissionState, customer: string, usage: CustomerUsage, areConnected: boolean, now: Milliseconds): void {
	let demand = 0;
	usage.remoteJobs = 0;
	usage.remoteTasks = 0;
	for (const heard of state.entries.values()) {
		const told = isFresh(state, heard, now) ? heard.customers.get(customer) : undefined;
		if (told !== undefined) {
			demand += told.demand;
			usage.remoteJobs += told.jobsInFlight;
			usage.remoteTasks += told.tasksInFlight;
		}
	}

	advanceTokens(usage, now);
	usage.share = computeShare(state, usage, demand, areConnected);
	advanceTokens(usage, now);
}

function isIdle(state: AdmissionState, usage: CustomerUsage, now: Milliseconds): boolean {
	return usage.jobsInFlight === 0 && now - usage.lastUsedAt >= state.options.idleMs && usage.tokens >= usage.burst * usage.share;
}

function describeUsage(customer: string, usage: CustomerUsage): CustomerDemand {
	return {
		customer,
		demand: usage.sentDemand,
		jobsInFlight: usage.jobsInFlight,
		tasksInFlight: usage.tasksInFlight,
	};
}

/**
 * Brings the shares up to date, and computes what to tell every other entry. To be called at an even
 * period; each share takes the demand that was told one period earlier, which the others know too.
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
			customers.push(describeUsage(customer, usage));
		}
	}

	return {entry: state.self, hearsAll: hasHeardAll(state, now), customers};
}

/**
 * Takes in the summary of another entry; one from an unknown entry is ignored.
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
		customers: new Map(summary.customers.map(told => [told.customer, told])),
		receivedAt: now,
	});
}

/**
 * Sets which other entries there are.
 *
 * @param state - State of admission.
 * @param names - Names of the entries that are not known to be dead; this one may be among them.
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
