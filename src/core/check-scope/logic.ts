/**
 * Chooses which entries are asked whether they have a job that may have been submitted before.
 *
 * The load balancer sends a caller to an entry of its own data centre unless it counts none there as ready. So while every data
 * centre has had a ready entry without a break for longer than callers submit a job again, each caller that comes here has
 * submitted its job only in this data centre, and the entries of the others need not be asked. An entry knows that it is counted
 * as ready from the balancer's readiness checks, and tells others when asked. Whatever is not known makes this entry ask all.
 *
 * Load: 600 jobs per second over 9 entries, and fleets of 55 entries in 4 data centres, with one of five jobs to be checked.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import {selectByWeight} from '../subsets/data-centres.ts';
import type {CheckScopeState} from './state.ts';
import type {
	BalancerRules, CheckScope, KnownEntry, Rotation, RotationReport,
} from './types.ts';

/**
 * Time, in ms, for which every data centre must have had a ready entry: ten rounds of a caller that waits for 1,500 ms and
 * submits its job again 1,300 ms later.
 */
const steadyMs = 30_000;

/** Share of the time between two readiness checks by which one may be late without a break. */
const latePollShare = 0.5;

/** Entries of each data centre that are asked whether they are counted as ready: enough that the loss of one does not matter. */
export const witnessesPerDataCentre = 2;

/** Time, in ms, after which a question without an answer is sent again. */
const queryRetryMs = 200;

/** Sets what is known of the deployment. */
export function updateRules(state: CheckScopeState, {dataCentre, balancer}: {readonly dataCentre: string; readonly balancer?: BalancerRules | undefined}): void {
	state.dataCentre = dataCentre;
	state.balancer = balancer;
}

/** Sets the other entries that are known. */
export function updateKnownEntries(state: CheckScopeState, entries: readonly KnownEntry[], now: Milliseconds): void {
	state.entries = new Map(entries.map(entry => [entry.name, entry]));
	if (entries.length > 0) {
		state.startedAt ??= now;
	}
}

/**
 * Returns how long the balancer counts an entry as ready at least after it has received a readiness check: its answer may be
 * lost, which is the first miss, and the others follow at the usual interval.
 */
function computeRotationMs({pollMs, missesUntilOut}: BalancerRules): Milliseconds {
	return pollMs * (missesUntilOut - 1);
}

/** Adds a time in which an entry of a data centre was counted as ready; joins it with the time before if there is no gap. */
function addRotation({rotations}: CheckScopeState, dataCentre: string, {since, until}: Rotation): void {
	const known = rotations.get(dataCentre);
	if (known === undefined || since > known.until) {
		rotations.set(dataCentre, {since, until});
	} else {
		rotations.set(dataCentre, {since: Math.min(since, known.since), until: Math.max(until, known.until)});
	}
}

/**
 * Records a readiness check of the balancer.
 *
 * @param state - State of the choice.
 * @param isReady - Whether it was answered that this entry is ready.
 * @param now - Current time.
 */
export function recordPoll(state: CheckScopeState, isReady: boolean, now: Milliseconds): void {
	const {balancer, polls, dataCentre} = state;
	if (balancer === undefined || !isReady) {
		state.polls = undefined;
		return;
	}

	const isContinued = polls !== undefined && now - polls.lastAt <= balancer.pollMs * (1 + latePollShare);
	const since = isContinued ? polls.since : now;
	state.polls = {since, lastAt: now};
	addRotation(state, dataCentre, {since, until: now + computeRotationMs(balancer)});
}

/**
 * Forgets the readiness checks before a standstill of this entry: it may have answered some of them too late. What other entries
 * of the data centre tell counts as before.
 */
export function clearPolls(state: CheckScopeState): void {
	state.polls = undefined;
	state.rotations.delete(state.dataCentre);
}

/**
 * Describes whether the balancer counts this entry as ready, as the answer to another entry.
 *
 * @param state - State of the choice.
 * @param now - Current time.
 * @returns The report; undefined if that is not known.
 */
export function describeRotation({balancer, polls}: CheckScopeState, now: Milliseconds): RotationReport | undefined {
	return balancer === undefined || polls === undefined || now - polls.lastAt >= computeRotationMs(balancer)
		? undefined
		: {age: now - polls.lastAt, forMs: now - polls.since};
}

/** Lists the data centres with known entries, and the own one. */
function listDataCentres({entries, dataCentre}: CheckScopeState): ReadonlySet<string> {
	return new Set([dataCentre, ...[...entries.values()].map(entry => entry.dataCentre)]);
}

/**
 * Takes the questions to entries whose answers end soon.
 *
 * @param state - State of the choice.
 * @param connected - Entries with a stream that answer.
 * @param now - Current time.
 * @returns Entries, each with the number of the question.
 */
export function takeRotationQueries(state: CheckScopeState, connected: ReadonlySet<NodeName>, now: Milliseconds): ReadonlyMap<NodeName, number> {
	const taken = new Map<NodeName, number>();
	const dataCentres = listDataCentres(state);
	for (const dataCentre of state.balancer === undefined || dataCentres.size === 1 ? [] : dataCentres) {
		const members = [...state.entries.values()].filter(entry => entry.dataCentre === dataCentre && connected.has(entry.name));
		for (const name of selectByWeight(state.self, members.map(entry => entry.name), witnessesPerDataCentre)) {
			const last = state.queries.get(name);
			const isDue = last === undefined || now >= Math.max(last.until, last.sentAt + queryRetryMs);
			if (isDue) {
				state.lastQuery++;
				state.queries.set(name, {number: state.lastQuery, sentAt: now, until: now});
				taken.set(name, state.lastQuery);
			}
		}
	}

	return taken;
}

/**
 * Applies the answer of an entry. It was given after the question, so that its age counts from then, however long it took.
 *
 * @param state - State of the choice.
 * @param from - The entry.
 * @param number - Number of the question.
 * @param report - Its answer; undefined if it is not counted as ready.
 * @param now - Current time.
 */
export function applyRotationReport(state: CheckScopeState, from: NodeName, number: number, report: RotationReport | undefined, now: Milliseconds): void {
	const query = state.queries.get(from);
	const entry = state.entries.get(from);
	if (query?.number !== number || entry === undefined || report === undefined || state.balancer === undefined) {
		return;
	}

	const until = query.sentAt - report.age + computeRotationMs(state.balancer);
	state.queries.set(from, {...query, until});
	addRotation(state, entry.dataCentre, {since: now - report.forMs, until});
}

/** Returns whether a data centre is known to have had a ready entry for long, until now. */
function isSteady({rotations}: CheckScopeState, dataCentre: string, now: Milliseconds): boolean {
	const rotation = rotations.get(dataCentre);
	return rotation !== undefined && now < rotation.until && now - rotation.since >= steadyMs;
}

/** Lists the data centres that are not known to have had a ready entry for long. */
export function listUnsteadyDataCentres(state: CheckScopeState, now: Milliseconds): readonly string[] {
	return [...listDataCentres(state)].filter(dataCentre => !isSteady(state, dataCentre, now));
}

/** Returns whether an entry is known to be outside a data centre. */
function isOutside({entries}: CheckScopeState, name: NodeName, dataCentre: string): boolean {
	const entry = entries.get(name);
	return entry !== undefined && entry.dataCentre !== dataCentre;
}

/**
 * Selects the entries to which a question goes. An entry of which nothing is known yet is among them.
 *
 * @param state - State of the choice.
 * @param connected - Entries with a stream that answer checks.
 * @param dataCentre - Data centre whose entries are asked; undefined for all, which others pass the question on to.
 * @returns The entries.
 */
export function selectAskedEntries(state: CheckScopeState, connected: Iterable<NodeName>, dataCentre: string | undefined): readonly NodeName[] {
	return [...connected].filter(name => dataCentre === undefined ? state.entries.get(name)?.isNeighbour !== false : !isOutside(state, name, dataCentre));
}

/**
 * Chooses whom a check asks. An entry of this data centre that may live and is not reached makes it ask all, as others may reach it.
 *
 * @param state - State of the choice.
 * @param connected - Entries with a stream that answer checks.
 * @param now - Current time.
 * @returns The choice.
 */
export function chooseCheckScope(state: CheckScopeState, connected: ReadonlySet<NodeName>, now: Milliseconds): CheckScope {
	const {balancer, startedAt, entries, dataCentre} = state;
	const isUnreached = ({name, hasEnded}: KnownEntry): boolean => !hasEnded && !connected.has(name) && !isOutside(state, name, dataCentre);
	const isNarrow = balancer !== undefined && startedAt !== undefined && now - startedAt >= steadyMs
		&& listUnsteadyDataCentres(state, now).length === 0 && ![...entries.values()].some(entry => isUnreached(entry));
	return isNarrow ? 'data-centre' : 'all';
}

/** Counts a check by whom it asks. */
export function recordCheckScope({counts}: CheckScopeState, scope: CheckScope): void {
	counts[scope]++;
}

/**
 * Finds out whether the choice has changed for longer than the gap between two readiness checks.
 *
 * @param state - State of the choice.
 * @param connected - Entries with a stream that answer checks.
 * @param now - Current time.
 * @returns The new choice; undefined if it is the same, or if there is nothing to choose from.
 */
export function observeScopeChange(state: CheckScopeState, connected: ReadonlySet<NodeName>, now: Milliseconds): CheckScope | undefined {
	const {balancer} = state;
	if (balancer === undefined || listDataCentres(state).size === 1) {
		return undefined;
	}

	const scope = chooseCheckScope(state, connected, now);
	state.allSince = scope === 'all' ? state.allSince ?? now : undefined;
	const isLasting = state.allSince === undefined || now - state.allSince >= balancer.pollMs;
	if (scope === state.lastScope || !isLasting) {
		return undefined;
	}

	state.lastScope = scope;
	return scope;
}
