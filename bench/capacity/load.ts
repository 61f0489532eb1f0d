/**
 * Measures processor time, bytes and messages per job at the entry, at the home of the jobs and at the executing agents.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {CapacityFleet, customer, type FleetProcess} from './fleet.ts';
import {computeRelativeLine, type LineFit} from './fit.ts';
import {
	computeUsage, readCounters, readMemory, readUsage, type UsageSample,
} from './samples.ts';

/** Roles of processes in handling a job. */
export const jobRoles = ['entry', 'home', 'executors'] as const;

/** A role of processes in handling a job. */
export type JobRole = (typeof jobRoles)[number];

/** Cost of one run of jobs with the same number of tasks. */
export type LoadRun = {
	readonly tasks: number;
	readonly jobs: number;
	/** Number of jobs in flight at once. */
	readonly concurrency: number;
	readonly jobsPerSecond: number;
	readonly complete: number;
	/** Processor time per job, in ms, minus that of the idle processes. */
	readonly cpuMs: Readonly<Record<JobRole, number>>;
	/** Bytes written per job, including those from the entry to the caller and from the executing agents to their targets. */
	readonly bytes: Readonly<Record<JobRole, number>>;
	/** Messages between processes per job. */
	readonly messages: Readonly<Record<JobRole, number>>;
};

/** Cost of jobs of different sizes, with fitted lines. */
export type LoadFigures = {
	readonly runs: readonly LoadRun[];
	/** Processor time per job, in ms, as a function of its number of tasks; bytes and messages likewise. */
	readonly cpuMs: Readonly<Record<JobRole, LineFit>>;
	readonly bytes: Readonly<Record<JobRole, LineFit>>;
	readonly messages: Readonly<Record<JobRole, LineFit>>;
	/** Resident memory after all runs, in MB. */
	readonly residentMb: Readonly<Record<JobRole, number>>;
	readonly executors: number;
};

type Size = Pick<LoadRun, 'tasks' | 'jobs' | 'concurrency'>;

const executors = 8;
const idleWindowMs = 4000;
/** Pause after the targets were stopped and started; longer than the default lease of a target (setting `leaseMs`, 3000 ms). */
const targetSettleMs = 4000;
const mintLimit = 1000;
const warmups: readonly Size[] = [{tasks: 1, jobs: 800, concurrency: 8}, {tasks: 100, jobs: 20, concurrency: 2}];
const sizes: readonly Size[] = [
	{tasks: 1, jobs: 2400, concurrency: 8},
	{tasks: 10, jobs: 800, concurrency: 8},
	{tasks: 100, jobs: 150, concurrency: 4},
	{tasks: 760, jobs: 40, concurrency: 2},
];
/** Runs of jobs of one task at different numbers of jobs in flight; they are listed, but not used for the fitted lines. */
const rates: readonly Size[] = [1, 2, 32].map(concurrency => ({tasks: 1, jobs: concurrency === 32 ? 3200 : 800, concurrency}));

function listRoles({entries, agents}: CapacityFleet): Record<JobRole, readonly FleetProcess[]> {
	return {entry: entries, home: agents.slice(0, 1), executors: agents.slice(1)};
}

async function sumSamples<Key extends string>(processes: readonly FleetProcess[], read: (process: FleetProcess) => Promise<Readonly<Record<Key, number>>>): Promise<Record<Key, number>> {
	const samples = await Promise.all(processes.map(async process => read(process)));
	const sums: Partial<Record<Key, number>> = {};
	for (const sample of samples) {
		for (const [key, value] of Object.entries(sample) as Array<[Key, number]>) {
			sums[key] = (sums[key] ?? 0) + value;
		}
	}

	return sums as Record<Key, number>;
}

async function readByRole<Value>(fleet: CapacityFleet, read: (processes: readonly FleetProcess[]) => Promise<Value>): Promise<Record<JobRole, Value>> {
	const roles = listRoles(fleet);
	const values = await Promise.all(jobRoles.map(async role => read(roles[role])));
	return Object.fromEntries(jobRoles.map((role, index) => [role, values[index]])) as Record<JobRole, Value>;
}

async function readUsages(fleet: CapacityFleet): Promise<Record<JobRole, UsageSample>> {
	return readByRole(fleet, async processes => sumSamples(processes, async ({process}) => readUsage(process.getPid())));
}

async function readMessages(fleet: CapacityFleet): Promise<Record<JobRole, number>> {
	return readByRole(fleet, async processes => {
		const samples = await Promise.all(processes.map(async ({port}) => readCounters(port)));
		return samples.flatMap(({sent}) => Object.values(sent)).reduce((sum, count) => sum + count, 0);
	});
}

function createRoleRecord<Value>(compute: (role: JobRole) => Value): Record<JobRole, Value> {
	return Object.fromEntries(jobRoles.map(role => [role, compute(role)])) as Record<JobRole, Value>;
}

/** Submits jobs that all have the same home: their ids, which name the home, were minted while only this agent had a target. */
class JobDriver {
	readonly #ids: string[] = [];
	readonly #agent = new Agent({connections: 64});

	constructor(private readonly fleet: CapacityFleet) {}

	async mintIds(count: number): Promise<void> {
		while (this.#ids.length < count) {
			const response = await request(`${this.fleet.getUrl()}/v1/job-ids?count=${mintLimit}`, {method: 'POST', headers: this.#createHeaders(), dispatcher: this.#agent});
			const {ids} = await response.body.json() as {ids: string[]};
			this.#ids.push(...ids);
		}
	}

	async runJobs({tasks, jobs, concurrency}: Size): Promise<number> {
		const body = JSON.stringify({kind: 'booking', tasks: Array.from({length: tasks}, (_, number) => ({body: {runMs: 5, number}}))});
		let left = jobs;
		let complete = 0;
		await Promise.all(Array.from({length: concurrency}, async () => {
			while (left > 0) {
				left--;
				if (await this.#submitJob(body)) {
					complete++;
				}
			}
		}));
		return complete;
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}

	#createHeaders(): Record<string, string> {
		return {authorization: `Bearer ${customer.token}`, 'content-type': 'application/json'};
	}

	async #submitJob(body: string): Promise<boolean> {
		const id = this.#ids.pop();
		if (id === undefined) {
			throw new Error('no job id is left');
		}

		const response = await request(`${this.fleet.getUrl()}/v1/jobs/${id}`, {
			method: 'PUT', headers: this.#createHeaders(), body, dispatcher: this.#agent,
		});
		const answer = await response.body.json() as {outcome?: string};
		return answer.outcome === 'complete';
	}
}

async function measureRun(fleet: CapacityFleet, driver: JobDriver, size: Size, restCpu: Readonly<Record<JobRole, number>>): Promise<LoadRun> {
	const messagesBefore = await readMessages(fleet);
	const before = await readUsages(fleet);
	const startedAt = performance.now();
	const complete = await driver.runJobs(size);
	const tookMs = performance.now() - startedAt;
	const after = await readUsages(fleet);
	const messagesAfter = await readMessages(fleet);
	const usage = createRoleRecord(role => computeUsage(before[role], after[role]));
	return {
		...size,
		jobsPerSecond: size.jobs / tookMs * 1000,
		complete,
		cpuMs: createRoleRecord(role => Math.max(0, usage[role].cpuMs - (restCpu[role] * tookMs)) / size.jobs),
		bytes: createRoleRecord(role => usage[role].writtenBytes / size.jobs),
		messages: createRoleRecord(role => (messagesAfter[role] - messagesBefore[role]) / size.jobs),
	};
}

async function measureIdleCpu(fleet: CapacityFleet): Promise<Record<JobRole, number>> {
	const before = await readUsages(fleet);
	await wait(idleWindowMs);
	const after = await readUsages(fleet);
	return createRoleRecord(role => (after[role].cpuMs - before[role].cpuMs) / idleWindowMs);
}

/** Makes the first agent the home of all jobs, and lets only the other agents run tasks. */
async function separateRoles(fleet: CapacityFleet, driver: JobDriver): Promise<void> {
	const [home, ...others] = fleet.agents;
	await fleet.startTarget(home);
	await fleet.waitReady();
	const count = [...warmups, ...sizes, ...rates].reduce((sum, {jobs}) => sum + jobs, 0);
	await driver.mintIds(count);
	await fleet.stopTarget(home);
	await Promise.all(others.map(async agent => fleet.startTarget(agent)));
	await wait(targetSettleMs);
}

function fitRuns(runs: readonly LoadRun[], getValue: (run: LoadRun) => number): LineFit {
	return computeRelativeLine(runs.map(run => ({x: run.tasks, y: getValue(run)})));
}

/**
 * Measures jobs of 1 to 760 tasks with one entry, one home and eight executing agents.
 *
 * @param seed - Seed of the fleet.
 * @returns Runs and fits.
 */
export async function measureLoad(seed: number): Promise<LoadFigures> {
	await using fleet = await CapacityFleet.start({
		entries: 1, agents: executors + 1, dataCentres: 1, seed, withTargets: false,
	});
	const driver = new JobDriver(fleet);
	await separateRoles(fleet, driver);
	for (const size of warmups) {
		await driver.runJobs(size);
	}

	const rest = await measureIdleCpu(fleet);
	const runs: LoadRun[] = [];
	for (const size of [...sizes, ...rates]) {
		runs.push(await measureRun(fleet, driver, size, rest));
	}

	await driver.close();
	const fitted = runs.slice(0, sizes.length);
	const residentMb = await readByRole(fleet, async processes => {
		const samples = await Promise.all(processes.map(async ({process}) => readMemory(process.getPid())));
		return Math.max(...samples.map(sample => sample.residentMb));
	});
	return {
		runs,
		cpuMs: createRoleRecord(role => fitRuns(fitted, run => run.cpuMs[role])),
		bytes: createRoleRecord(role => fitRuns(fitted, run => run.bytes[role])),
		messages: createRoleRecord(role => fitRuns(fitted, run => run.messages[role])),
		residentMb,
		executors,
	};
}
