/**
 * State of admission: the usage of each contract at this entry.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Contract} from '../contracts/types.ts';
import type {NodeName} from '../identity/types.ts';
import type {AdmissionOptions, AdmissionState, CustomerUsage} from './types.ts';

const msPerSecond = 1000;

/**
 * Creates the state of an entry without any other entries.
 *
 * @param options - Parameters of admission.
 * @param self - Name of this entry.
 * @returns The state.
 */
export function createAdmission(options: AdmissionOptions, self: NodeName): AdmissionState {
	return {
		options,
		self,
		customers: new Map(),
		entries: new Map(),
	};
}

/**
 * Computes the share that each entry has while shares by demand cannot be used.
 *
 * @param state - State of admission.
 * @returns 1 divided by the number of entries, this one included.
 */
export function computeEqualShare(state: AdmissionState): number {
	return 1 / (state.entries.size + 1);
}

/**
 * Returns the usage of a contract; creates it with an equal share of the burst if there is none.
 *
 * @param state - State of admission.
 * @param contract - The contract.
 * @param now - The present time.
 * @returns The usage.
 */
export function getUsage(state: AdmissionState, contract: Contract, now: Milliseconds): CustomerUsage {
	const existing = state.customers.get(contract.customer);
	if (existing !== undefined) {
		return existing;
	}

	const share = computeEqualShare(state);
	const usage: CustomerUsage = {
		share,
		tokens: contract.burst * share,
		tokensAt: now,
		demand: 0,
		demandAt: now,
		sentDemand: 0,
		jobsInFlight: 0,
		tasksInFlight: 0,
		remoteJobs: 0,
		remoteTasks: 0,
		retries: state.options.retryReserve,
		retriesAt: now,
		rate: contract.rate,
		burst: contract.burst,
		lastUsedAt: now,
	};
	state.customers.set(contract.customer, usage);
	return usage;
}

/**
 * Refills the token bucket of a customer up to the present time.
 *
 * @param usage - Usage of the contract, with its current rate and burst.
 * @param now - The present time.
 */
export function advanceTokens(usage: CustomerUsage, now: Milliseconds): void {
	const refill = (now - usage.tokensAt) * usage.rate * usage.share / msPerSecond;
	usage.tokens = Math.min(usage.tokens + refill, usage.burst * usage.share);
	usage.tokensAt = now;
}

/**
 * Decays the average demand of a customer up to the present time.
 *
 * @param usage - Usage of the contract.
 * @param demandMs - Time constant of the average, in ms.
 * @param now - The present time.
 */
export function advanceDemand(usage: CustomerUsage, demandMs: Milliseconds, now: Milliseconds): void {
	usage.demand *= Math.exp((usage.demandAt - now) / demandMs);
	usage.demandAt = now;
}

/**
 * Refills the retries of a customer up to the present time, at most to the reserve.
 *
 * @param state - State of admission.
 * @param usage - Usage of the contract.
 * @param now - The present time.
 */
export function advanceRetries(state: AdmissionState, usage: CustomerUsage, now: Milliseconds): void {
	const {retryReserve, retryRefillMs} = state.options;
	const refill = (now - usage.retriesAt) / retryRefillMs;
	usage.retries = Math.max(usage.retries, Math.min(usage.retries + refill, retryReserve));
	usage.retriesAt = now;
}
