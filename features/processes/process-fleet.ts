/**
 * A small rig with callers, and tracked jobs whose answers are asserted after a fault.
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createRigCustomer, Rig, secrets} from '../../bench/rig/rig.ts';
import {Callers, type SoakJob} from '../../bench/soak/callers.ts';
import {readLedger} from '../../bench/soak/ledger.ts';
import {ResourceStack} from '../../src/adapters/system/resources.ts';
import {verifyJobId} from '../../src/core/identity/logic.ts';
import {createSeededRandom} from '../../src/ports/random.ts';
import {startTargetStandIn, type TargetStandIn} from '../../stand-ins/target.ts';

const deadlineMs = 20_000;
const waitLimitMs = 30_000;
const pollIntervalMs = 25;
const loadCallers = 4;
const customerName = 'hill-country';

/** Settings that detect dead processes and silent streams sooner than the defaults. */
const settings = {
	membership: {probeIntervalMs: 500, probeTimeoutMs: 100},
	peer: {heartbeatMs: 200, heartbeatTimeoutMs: 800},
	limits: {drainMs: 15_000},
};

/** Entries, agents and targets as processes (the last target runs inside this one), and the callers. */
export class ProcessFleet implements AsyncDisposable {
	/**
	 * Starts the processes.
	 *
	 * @param entries - Number of entries.
	 * @param agents - Number of agents.
	 * @param seed - Seed of the load.
	 * @returns The fleet, once its entries are ready.
	 */
	static async start(entries: number, agents: number, seed: number): Promise<ProcessFleet> {
		const customer = createRigCustomer(customerName, {booking: {urgency: 'high', deadlineMs}});
		const resources = new ResourceStack();
		const rig = resources.addResource(await Rig.start({
			entries, agents, targets: agents - 1, customers: [customer], settings,
		}));
		const target = resources.addResource(await startTargetStandIn({agent: rig.getControlAddress(`agent-${agents}`)}));
		rig.addTarget(target.address);
		const callers = resources.addResource(new Callers({
			urls: rig.listEntryUrls(), token: customer.token, kind: 'booking', random: createSeededRandom(seed), deadlineMs, maxTasks: 8, maxRunMs: 40,
		}));
		return new ProcessFleet(rig, target, callers, resources);
	}

	/** Jobs whose answers are asserted. */
	readonly tracked: SoakJob[] = [];
	#isUnderLoad = false;

	/**
	 * @param rig - The processes.
	 * @param target - The target inside this process.
	 * @param callers - The callers.
	 * @param resources - Resources disposed with the fleet.
	 */
	private constructor(readonly rig: Rig, readonly target: TargetStandIn, readonly callers: Callers, private readonly resources: ResourceStack) {}

	/** Runs a fault while callers submit jobs one after another. */
	async runUnderLoad(fault: (fleet: ProcessFleet) => Promise<void>): Promise<void> {
		this.#isUnderLoad = true;
		const load = Array.from({length: loadCallers}, async () => this.#runCaller());
		try {
			await fault(this);
		} finally {
			this.#isUnderLoad = false;
			await Promise.all(load);
		}
	}

	/** Adds a tracked job, with the named agent as its home if one is given. */
	async addTrackedJob(tasks: number, runMs: number, home?: string): Promise<SoakJob> {
		const job = await this.callers.addJob({tasks, runMs, acceptsId: id => home === undefined || this.#findHome(id) === home});
		assert.ok(job !== undefined, 'no entry minted an id');
		this.tracked.push(job);
		return job;
	}

	/** Waits until a task of a job has started. */
	async waitStarted(job: SoakJob): Promise<void> {
		await this.waitUntil(`a start of job ${job.id}`, async () => {
			const ledger = await readLedger(this.rig);
			return ledger.has(job.id);
		});
	}

	/** Waits until the log of a process contains a text. */
	async waitLogged(name: string, text: string): Promise<void> {
		const file = path.join(this.rig.folder, 'logs', `${name}.log`);
		await this.waitUntil(`"${text}" in the log of ${name}`, async () => {
			const log = await readFile(file, 'utf8');
			return log.includes(text);
		});
	}

	/** Waits until a condition holds. */
	async waitUntil(what: string, check: () => Promise<boolean>): Promise<void> {
		const end = Date.now() + waitLimitMs;
		while (!await check()) {
			assert.ok(Date.now() < end, `${what} was not seen within ${waitLimitMs} ms; logs in ${this.rig.folder}`);
			await delay(pollIntervalMs);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.resources[Symbol.asyncDispose]();
	}

	async #runCaller(): Promise<void> {
		while (this.#isUnderLoad) {
			await this.callers.runJob();
			await delay(1);
		}
	}

	#findHome(id: string): string | undefined {
		const parts = verifyJobId(secrets.MEDLARDALE_SECRET, customerName, id);
		return parts.isOk() ? parts.value.home.name : undefined;
	}
}
