/**
 * State of admission: the use of each contract through this entry.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Contract} from '../contracts/types.ts';
import type {NodeName} from '../identity/types.ts';
import type {AdmissionOptions, AdmissionState, CustomerUsage} from './types.ts';

const msPerSecond = 1000;

/**
 * Creates the state of an entry that knows no other.
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
 * Computes the share that each entry has when nothing better is known.
 *
 * @param state - State of admission.
 * @returns One part of as many as there are known entries.
 */
export function computeEqualShare(state: AdmissionState): number {
	return 1 / (state.entries.size + 1);
}

/**
 * Finds the use of a contract, or begins it with an equal share of the burst.
 *
 * @param state - State of admission.
 * @param contract - The contract.
 * @param now - The present time.
 * @returns The use.
 */
export function getUsage(state: AdmissionState, contract: Contract, now: Milliseconds): CustomerUsage {
	const known = state.customers.get(contract.customer);
	if (known !== undefined) {
		return known;
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
 * Brings the tokens of a customer up to the present.
 *
 * @param usage - Use of the contract, with the rate and burst in force.
 * @param now - The present time.
 */
export function advanceTokens(usage: CustomerUsage, now: Milliseconds): void {
	const earned = (now - usage.tokensAt) * usage.rate * usage.share / msPerSecond;
	usage.tokens = Math.min(usage.tokens + earned, usage.burst * usage.share);
	usage.tokensAt = now;
}

/**
 * Brings the demand of a customer up to the present.
 *
 * @param usage - Use of the contract.
 * @param demandMs - Time constant of the average, in ms.
 * @param now - The present time.
 */
export function advanceDemand(usage: CustomerUsage, demandMs: Milliseconds, now: Milliseconds): void {
	usage.demand *= Math.exp((usage.demandAt - now) / demandMs);
	usage.demandAt = now;
}

/**
 * Brings the retries of a customer up to the present.
 *
 * @param state - State of admission.
 * @param usage - Use of the contract.
 * @param now - The present time.
 */
export function advanceRetries(state: AdmissionState, usage: CustomerUsage, now: Milliseconds): void {
	const {retryReserve, retryRefillMs} = state.options;
	const earned = (now - usage.retriesAt) / retryRefillMs;
	usage.retries = Math.max(usage.retries, Math.min(usage.retries + earned, retryReserve));
	usage.retriesAt = now;
}
