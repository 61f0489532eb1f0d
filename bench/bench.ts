/**
 * Runs the load of a plan against separate processes and prints the results as tables, and as JSON to a file.
 *
 * Run by `npm run bench -- --plan bench/plans/load.json --seed 1 [--variants default,random] [--only PHASE,…] [--out FILE]`.
 * Ends with code 1 if an answer has missing or wrong results.
 */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runJobs, type JobRecord} from './load/generator.ts';
import {loadPlan, type Phase, type Plan} from './load/plan.ts';
import {createUsageReport, readSamples, type UsageReport} from './load/processes.ts';
import {createPhaseReport, formatRows, type StreamReport} from './load/report.ts';
import {drawPlannedJobs} from './load/schedule.ts';
import {createRigCustomer, Rig} from './rig/rig.ts';

const {values} = parseArgs({
	options: {
		plan: {type: 'string', default: 'bench/plans/load.json'},
		seed: {type: 'string', default: '1'},
		variants: {type: 'string', default: 'default'},
		only: {type: 'string', default: ''},
		binary: {type: 'boolean', default: false},
		out: {type: 'string', default: ''},
		log: {type: 'string', default: 'warn'},
	},
});

/** Settings that replace those of the plan, by variant; all but the default are named after the baseline policies they select. */
const variants: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
	default: {},
	random: {placement: {policy: 'random'}},
	'round-robin': {placement: {policy: 'round-robin'}},
	'least-loaded': {placement: {policy: 'least-loaded'}},
	'fifo-random': {placement: {policy: 'random'}, scheduling: {policy: 'fifo'}},
};

type PhaseResult = {
	readonly variant: string;
	readonly streams: readonly StreamReport[];
	readonly usage: UsageReport;
	/** Number of complete answers with missing or wrong results. */
	readonly wrong: number;
};

/** Pause between two phases, in ms. */
const settleMs = 500;

/** Sets the stand-in targets named in a phase to the behaviour given there, or back to no failures. */
async function setTargetBehaviour(rig: Rig, phase: Phase, isFaulty: boolean): Promise<void> {
	for (const [number, behaviour] of Object.entries(phase.targets)) {
		const body = isFaulty ? behaviour : {failure: 'none'};
		await fetch(`http://${rig.listTargets()[Number(number) - 1]}/behaviour`, {method: 'PUT', body: JSON.stringify(body)});
	}
}

async function runPhase(rig: Rig, plan: Plan, phase: Phase, variant: string): Promise<PhaseResult> {
	const slots = plan.agents * plan.slots;
	const jobs = drawPlannedJobs(phase, slots, Number(values.seed));
	const tokens = new Map(plan.customers.map(({name}) => [name, `token-of-${name}`]));
	await setTargetBehaviour(rig, phase, true);
	const before = await readSamples(rig, {withMetrics: true});
	const records: JobRecord[] = await runJobs(jobs, {urls: rig.listEntryUrls(), tokens});
	const after = await readSamples(rig, {withMetrics: true});
	await setTargetBehaviour(rig, phase, false);
	await new Promise(resolve => {
		setTimeout(resolve, settleMs);
	});
	const tasks = records.filter(({outcome}) => outcome === 'complete').reduce((sum, {job}) => sum + job.runMs.length, 0);
	return {
		variant,
		streams: createPhaseReport(phase, records, slots),
		usage: createUsageReport(phase.name, before, after, tasks),
		wrong: records.filter(({hasValidResults}) => !hasValidResults).length,
	};
}

async function runVariant(plan: Plan, variant: string): Promise<PhaseResult[]> {
	const customers = plan.customers.map(({name, kinds, weight, limits}) => createRigCustomer(name, kinds, {weight, ...limits}));
	await using rig = await Rig.start({
		entries: plan.entries,
		agents: plan.agents,
		slots: plan.slots,
		dataCentres: plan.dataCentres,
		customers,
		settings: {...plan.settings, ...variants[variant]},
		useBinary: values.binary,
		logLevel: values.log,
	});
	const results: PhaseResult[] = [];
	for (const phase of plan.phases.filter(({name}) => values.only === '' || values.only.split(',').includes(name))) {
		results.push(await runPhase(rig, plan, phase, variant));
	}

	return results;
}

const plan = await loadPlan(values.plan);
const results: PhaseResult[] = [];
for (const variant of values.variants.split(',')) {
	results.push(...await runVariant(plan, variant));
}

process.stdout.write(`${formatRows(results.flatMap(({variant, streams}) => streams.map(stream => ({variant, ...stream}))))}\n\n`);
process.stdout.write(`${formatRows(results.map(({variant, usage, wrong}) => ({variant, ...usage, wrong})))}\n`);
if (values.out !== '') {
	await writeFile(values.out, `${JSON.stringify({plan: values.plan, seed: values.seed, results}, undefined, '\t')}\n`);
}

process.exitCode = results.every(({wrong}) => wrong === 0) ? 0 : 1;
