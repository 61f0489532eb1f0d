/**
 * An entry: accepts jobs, places their tasks on agents and answers the callers.
 */
import {computeShutdown} from '../../core/bounds/shutdown.ts';
import type {Timings} from '../../core/bounds/types.ts';
import {
	createAgentMessage, handleAgentDisconnect, handleGrantRequests, hasTasksAt, startSession,
} from '../../core/dispatch/agents.ts';
import {
	advanceDispatch, cancelJob, handleCallerLeave, placeAllWaitingTasks, submitJob, type JobRequest,
} from '../../core/dispatch/logic.ts';
import {applyClosedDataCentres, updateOpenDataCentres} from '../../core/dispatch/closings.ts';
import {listCheckedJobs, observeStandstill} from '../../core/dispatch/checking.ts';
import {observeContact} from '../../core/dispatch/contact.ts';
import {applyReports, handleCrashes, handleSurvival} from '../../core/dispatch/reports.ts';
import {extendAllOffers} from '../../core/dispatch/placing.ts';
import {createUnconfirmedRefusal} from '../../core/dispatch/shedding.ts';
import {describeRunEvidence} from '../../core/dispatch/run-evidence.ts';
import {listCarefulRoutes} from '../../core/crashes/logic.ts';
import {updateRules} from '../../core/check-scope/logic.ts';
import {countOpenJobs, createDispatchState, type DispatchState} from '../../core/dispatch/state.ts';
import type {DispatchEffect, Job, JobAnswer} from '../../core/dispatch/types.ts';
import {chooseExtraAgents} from '../../core/dispatch/reach.ts';
import {addPendingWithdrawals} from '../../core/dispatch/withdrawals.ts';
import {addToGroup} from '../../core/groups.ts';
import type {NodeName} from '../../core/identity/types.ts';
import {isOfOpenedSession} from '../../core/sessions/logic.ts';
import type {ConnectedPeer} from '../../core/links/types.ts';
import {
	addAgent, applyLoad, createFleetState, recordContact, removeAgent, setRetiring, takeHeardCapacity,
} from '../../core/fleet/state.ts';
import type {DispatchMessage, TaskReport} from '../../ports/dispatch-messages.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import {waitFor} from '../shared/wait.ts';
import {ClosingsExchange} from './closings.ts';
import {ConfigurationSource} from './configuration.ts';
import {Directory} from './directory.ts';
import {PeerLinks} from './links.ts';
import {createOwnAddress, type DispatchInput} from './input.ts';
import {OwnershipExchange} from './ownership.ts';
import {VersionExchange} from './version-exchange.ts';

/** Interval of checking deadlines and waiting tasks, in ms. */
const tickMs = 50;

/** Time after the start of the process in which agents are expected to connect, in ms. */
const expectAgentsMs = 3000;

/** Time after which callers may come back that were refused for want of a confirmed configuration, in ms: some attempts at reading the store, and queries. */
const unconfirmedRetryMs = 1000;

type Waiter = (answer: JobAnswer) => void;

type MessageHandlers = {
	readonly [Type in DispatchMessage['type']]?: (from: PeerAddress, message: Extract<DispatchMessage, {type: Type}>) => void;
};

/** Entry process: serves callers and connects to agents and other entries. */
export class DispatchEntry implements AsyncDisposable {
	readonly state: DispatchState;
	readonly configuration: ConfigurationSource;
	readonly #links: PeerLinks;
	readonly #ownership: OwnershipExchange;
	readonly #closings: ClosingsExchange;
	readonly #versions: VersionExchange;
	readonly #timer: Disposable;
	readonly #waiters = new Map<Job, Waiter[]>();
	/** Agents that have reported their load in this turn of the event loop. */
	readonly #reportedAgents = new Set<NodeName>();
	#carefulRoutes: ReadonlySet<string> = new Set();
	#isStopping = false;

	readonly #messageHandlers: MessageHandlers = {
		ended: (from, {reports, load, seen}) => {
			applyLoad(this.state.fleet, from.name, load, seen);
			this.#shareCrashes(from.name, reports);
			this.#applyEffects(applyReports(this.state, from.name, reports, this.#now()));
			this.#requestPlacing(from.name);
		},
		load: (from, {load, seen}) => {
			applyLoad(this.state.fleet, from.name, load, seen);
			this.#requestPlacing(from.name);
		},
		crashes: (from, {crashes, agent}) => {
			this.#applyEffects(handleCrashes(this.state, agent ?? from.name, crashes, this.#now()));
		},
		survived: (from, {tasks}) => {
			this.#applyEffects(handleSurvival(this.state, from.name, tasks, this.#now()));
		},
		ask: (from, {tasks}) => {
			this.#applyEffects(handleGrantRequests(this.state, from.name, tasks, this.#now()));
		},
		'jobs-owned': (from, message) => {
			this.#ownership.handleOwnedJobs(from.name, message);
		},
		'jobs-seen': (from, message) => {
			this.#ownership.handleOwnedJobs(from.name, message);
		},
		'check-job': (from, message) => {
			this.#ownership.handleCheck(from.name, message);
		},
		'job-checked': (from, message) => {
			this.#ownership.handleCheck(from.name, message);
		},
		'query-rotation': (from, message) => {
			this.#ownership.handleRotation(from.name, message);
		},
		rotation: (from, message) => {
			this.#ownership.handleRotation(from.name, message);
		},
		'join-job': (from, message) => {
			this.#ownership.handleMessage(from.name, message);
		},
		'leave-job': (from, message) => {
			this.#ownership.handleMessage(from.name, message);
		},
		'job-state': (from, message) => {
			this.#ownership.handleMessage(from.name, message);
		},
		version: (from, message) => {
			this.#versions.handleMessage(from.name, message);
		},
		'query-version': (from, message) => {
			this.#versions.handleMessage(from.name, message);
		},
		'version-report': (from, message) => {
			this.#versions.handleMessage(from.name, message);
		},
		'fetch-configuration': (from, message) => {
			this.#versions.handleMessage(from.name, message);
		},
		configuration: (from, message) => {
			this.#versions.handleMessage(from.name, message);
		},
		closings: (from, {closings}) => {
			this.#closings.handleSet(from.name, closings);
		},
	};

	readonly #effectHandlers: {readonly [Type in DispatchEffect['type']]: (effect: Extract<DispatchEffect, {type: Type}>) => void} = {
		offer: effect => {
			this.#links.sendMessage(effect.agent, createAgentMessage(this.state, effect));
		},
		withdraw: effect => {
			this.#links.sendMessage(effect.agent, createAgentMessage(this.state, effect));
		},
		grant: effect => {
			this.#links.sendMessage(effect.agent, createAgentMessage(this.state, effect));
		},
		log: ({event, details}) => {
			this.input.log.recordDecision('warn', event, details);
		},
		answer: ({job, answer}) => {
			this.#recordAnswer(job, answer);
			this.#replyToCallers(job, answer);
		},
		dismiss: ({job, answer}) => {
			this.#replyToCallers(job, answer);
		},
		'tell-neighbour': ({entry, message}) => {
			this.#links.sendMessage(entry, message);
		},
		'tell-entry': ({message}) => {
			this.#ownership.sendMessage(message);
		},
	};

	/**
	 * @param input - Settings and ports.
	 * @param timings - Time limits.
	 */
	constructor(private readonly input: DispatchInput, timings: Timings) {
		const {settings, clock, log} = input;
		const self = createOwnAddress(input, 'entry');
		this.state = createDispatchState(createFleetState({
			dataCentre: settings.dataCentre, remoteFactor: settings.bounds.remoteFactor,
		}), timings, self);
		updateRules(this.state.ownership.scope, settings);
		this.state.expectAgentsUntil = clock.getTime() + expectAgentsMs;
		this.configuration = new ConfigurationSource({
			store: input.store,
			key: input.configurationKey,
			decode: input.decodeConfiguration,
			clock,
			log,
			bounds: settings.bounds,
			onChange: version => {
				this.#versions.shareVersion(version);
			},
			closings: settings.bounds.closingMs === undefined || input.closingKeys === undefined
				? undefined
				: {
					...input.closingKeys, onSet: set => {
						this.#closings.applySet(set, 'store');
					},
				},
		});
		this.#links = new PeerLinks({
			self,
			listenHost: input.settings.listenHost,
			secret: input.secret,
			timings,
			clock,
			log,
			receiver: input.receiver,
			getVersion: () => this.configuration.version,
			getLabels: () => [],
			asksDataCentre: settings.balancer !== undefined,
		}, {
			onConnect: peer => {
				this.#observeStandstill();
				this.#handleConnect(peer);
			},
			onDisconnect: peer => {
				this.#observeStandstill();
				this.#handleDisconnect(peer);
			},
			onStreamsChange: peer => {
				this.#observeStandstill();
				// What was sent before may be lost.
				if (peer.role === 'agent') {
					this.#startSession(peer);
				} else {
					this.#ownership.handleConnect(peer);
					this.#closings.handleConnect(peer.name);
				}
			},
			onMessage: (from, message) => {
				this.#observeStandstill();
				if (from.role === 'agent') {
					this.#applyEffects(observeContact(this.state, 'agents', this.#now(), this.#now()));
				}

				if (!isOfOpenedSession(this.state.sessions, from.name, message)) {
					this.input.log.recordDecision('info', 'message-outdated', {from: from.name, type: message.type});
					return;
				}

				(this.#messageHandlers[message.type] as ((from: PeerAddress, message: DispatchMessage) => void) | undefined)?.(from, message);
			},
			isQuiet: peer => peer.role === 'entry' || !hasTasksAt(this.state, peer.name),
		});
		this.#ownership = new OwnershipExchange({
			state: this.state,
			links: this.#links,
			getTime: () => this.#now(),
			applyEffects: effects => {
				this.#applyEffects(effects);
			},
		});
		this.#versions = new VersionExchange({
			configuration: this.configuration, links: this.#links, bounds: settings.bounds, clock, log,
		});
		this.#closings = new ClosingsExchange({
			role: 'entry',
			links: this.#links,
			clock,
			log,
			onChange: closed => {
				this.#applyEffects(applyClosedDataCentres(this.state, closed, this.#now()));
				updateOpenDataCentres(this.state, this.#links.listDataCentres('agent'));
			},
		});
		this.#timer = clock.startInterval(tickMs, () => {
			this.#advance();
		});
	}

	/** Listens for other processes, registers in the directory and watches the configuration. */
	async start(): Promise<void> {
		await this.#links.listen();
		const {store, clock, log} = this.input;
		const directory = new Directory({
			store, clock, log, self: createOwnAddress(this.input, 'entry'), onPeers: addresses => {
				this.#links.addPeers(addresses);
				this.#updatePeerCounts();
			},
		});
		void directory.joinDirectory();
		void this.configuration.watchStore();
	}

	/** Returns whether the balancer should send requests to this entry. */
	isReady(): boolean {
		return !this.#isStopping && this.configuration.version > 0 && this.state.fleet.agents.size > 0 && this.canAnswer();
	}

	/** Returns whether callers may be answered by the configuration that this entry has. */
	canAnswer(): boolean {
		return this.#versions.canAnswer();
	}

	/** Waits until callers may be answered by the configuration, if that can be soon; returns whether they may. */
	async waitForConfirmation(): Promise<boolean> {
		return this.#versions.waitForConfirmation();
	}

	/** Answers a readiness check of the load balancer: it tells which entries callers can have reached. */
	answerReadinessCheck(): boolean {
		const isReady = this.isReady();
		this.#observeStandstill();
		this.#ownership.observeReadinessCheck(isReady);
		return isReady;
	}

	/** Returns whether the entry is shutting down. */
	isStopping(): boolean {
		return this.#isStopping;
	}

	/** Notices, before it is decided about a submission, that this process has stood still or reaches callers again. */
	observeSubmission(): void {
		const now = this.#now();
		this.#observeStandstill();
		this.#ownership.observeStart();
		this.#applyEffects(observeContact(this.state, 'callers', now, now));
	}

	/**
	 * Submits a job.
	 *
	 * @param request - The submission.
	 * @param signal - Aborted when the caller disconnects.
	 * @returns The answer.
	 */
	async submitJob(request: JobRequest, signal: AbortSignal): Promise<JobAnswer> {
		this.observeSubmission();
		const {job, effects} = submitJob(this.state, request, this.#now());
		return new Promise(resolve => {
			addToGroup(this.#waiters, job, resolve);
			signal.addEventListener('abort', () => {
				this.#removeWaiter(job, resolve);
			});
			this.#applyEffects(effects);
		});
	}

	/**
	 * Creates the answer to a submission that arrives while callers may not be answered by the configuration.
	 *
	 * @param job - Id of the job, and whether its caller may have submitted it to another entry before.
	 * @returns The answer.
	 */
	refuseSubmission(job: Pick<Job, 'id' | 'mayBeRepeated'>): JobAnswer {
		this.observeSubmission();
		return createUnconfirmedRefusal(this.state, job, unconfirmedRetryMs, this.#now());
	}

	/**
	 * Cancels an open job.
	 *
	 * @param id - The job.
	 * @returns Whether this entry had the job open.
	 */
	cancelJob(id: string): boolean {
		const effects = cancelJob(this.state, id, 'cancelled', this.#now());
		this.#applyEffects(effects);
		return effects.length > 0;
	}

	/** Lists the values of the gauges, by name. */
	listGauges(): Readonly<Record<string, number>> {
		return {
			open_jobs: countOpenJobs(this.state),
			checked_jobs: this.state.ownership.checks.size,
			checks_in_data_centre: this.state.ownership.scope.counts['data-centre'],
			checks_of_all: this.state.ownership.scope.counts.all,
			waiting_jobs: this.state.jobsToPlace.size,
			quarantined_routes: this.#carefulRoutes.size,
			linked_agents: this.state.fleet.agents.size,
			subset_agents: this.state.agentCount,
			configuration_version: this.configuration.version,
			...(this.configuration.unconfirmedMs !== undefined && {configuration_unconfirmed_ms: this.configuration.unconfirmedMs}),
			closed_data_centres: this.#closings.closed.length,
		};
	}

	/** Serves jobs that are expected to end within the grace period; cancels those that are left before its end. */
	async drain(): Promise<void> {
		const {clock, settings, log} = this.input;
		const {stayMs, giveUpMs} = computeShutdown(settings.bounds.graceSeconds * 1000);
		const startedAt = clock.getTime();
		const endsAt = startedAt + giveUpMs;
		this.#isStopping = true;
		this.state.endsAt = endsAt;
		while (clock.getTime() < endsAt) {
			if (clock.getTime() >= startedAt + stayMs && countOpenJobs(this.state) === 0) {
				return;
			}

			await waitFor(this.input.clock, tickMs);
		}

		const openJobs = [...[...this.state.openJobs, ...listCheckedJobs(this.state)].map(({id}) => id), ...this.state.ownership.joined.keys()];
		log.recordDecision('warn', 'open-jobs-given-up', {count: openJobs.length});
		for (const id of openJobs) {
			this.#applyEffects(cancelJob(this.state, id, 'leaving', this.#now()));
		}

		await waitFor(this.input.clock, tickMs * 2);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#timer[Symbol.dispose]();
		this.configuration[Symbol.dispose]();
		await this.#links[Symbol.asyncDispose]();
	}

	#now(): Milliseconds {
		return this.input.clock.getTime();
	}

	/** Notices that this process has stood still, before it reacts to anything. */
	#observeStandstill(): void {
		this.#applyEffects(observeStandstill(this.state, this.#now(), this.input.readTimeOfDay()));
	}

	#advance(): void {
		const now = this.#now();
		this.#observeStandstill();
		this.#updatePeerCounts();
		for (const {agent} of this.state.fleet.agents.values()) {
			setRetiring(this.state.fleet, agent.name, this.#links.isRetiring(agent.name));
			const heardAt = this.#links.getLastContact(agent.name);
			recordContact(this.state.fleet, agent.name, heardAt ?? 0);
			if (heardAt !== undefined) {
				this.#applyEffects(observeContact(this.state, 'agents', heardAt, now));
			}
		}

		this.#ownership.observeContact();
		this.#closings.advance();
		if (this.#closings.closed.length > 0) {
			updateOpenDataCentres(this.state, this.#links.listDataCentres('agent'));
		}

		this.#applyEffects(advanceDispatch(this.state, now));
		this.#ownership.sendNews();
		this.#recordCarefulRoutes(now);
		this.#links.extendStreams(chooseExtraAgents(this.state, () => this.#links.listUnconnectedAgents(), now));
		this.#versions.advance();
	}

	/** Logs which routes begin or cease to start their jobs with a canary. */
	#recordCarefulRoutes(now: Milliseconds): void {
		const careful = new Set(listCarefulRoutes(this.state.crashes, now));
		for (const route of [...careful].filter(name => !this.#carefulRoutes.has(name))) {
			const {target} = this.state.crashes.routes.get(route)!;
			this.input.log.recordDecision('warn', 'route-quarantined', {route, agents: [...this.state.crashes.reservedAgents.get(target) ?? []]});
		}

		for (const route of [...this.#carefulRoutes].filter(name => !careful.has(name))) {
			this.input.log.recordDecision('warn', 'route-released', {route});
		}

		this.#carefulRoutes = careful;
	}

	/** Places waiting tasks after the load reports of this turn of the event loop. */
	#requestPlacing(agent: NodeName): void {
		this.#reportedAgents.add(agent);
		if (this.#reportedAgents.size === 1) {
			setImmediate(() => {
				this.#placeTasks();
			});
		}
	}

	#placeTasks(): void {
		const agents = [...this.#reportedAgents];
		this.#reportedAgents.clear();
		this.#applyEffects(placeAllWaitingTasks(this.state, this.#now()));
		this.#applyEffects(extendAllOffers(this.state, agents));
	}

	#handleConnect(peer: ConnectedPeer): void {
		this.#updatePeerCounts();
		if (peer.role === 'agent') {
			this.#applyEffects(observeContact(this.state, 'agents', this.#now(), this.#now()));
			addAgent(this.state.fleet, peer, peer.dataCentre);
			this.#startSession(peer);
			return;
		}

		this.#ownership.handleConnect(peer);
		this.#closings.handleConnect(peer.name);
		this.#versions.handleConnect(peer);
	}

	#startSession({name}: ConnectedPeer): void {
		const {claim, effects} = startSession(this.state, name, this.#now());
		this.#links.sendMessage(name, {...claim, heard: takeHeardCapacity(this.state.fleet, name, this.#now()), closings: this.#closings.set});
		this.#applyEffects(effects);
	}

	#updatePeerCounts(): void {
		this.state.agentCount = this.#links.countSubsetAgents();
	}

	#handleDisconnect(peer: PeerAddress): void {
		this.#updatePeerCounts();
		this.configuration.restartWatch();
		this.#versions.handleDisconnect(peer.name);
		this.#closings.handleDisconnect(peer.name);
		if (peer.role === 'agent') {
			removeAgent(this.state.fleet, peer.name);
			this.#applyEffects(handleAgentDisconnect(this.state, peer.name, this.#now()));
		} else {
			this.#ownership.handleDisconnect(peer);
		}
	}

	/** Passes on crashes under runs of this entry: other entries may have no stream to the agent, and this one may be killed. */
	#shareCrashes(agent: NodeName, reports: readonly TaskReport[]): void {
		const crashes = reports.flatMap(({task, run, crash}) => crash === undefined ? [] : [{task, run, ...crash}]);
		for (const peer of crashes.length > 0 ? this.#links.listConnected() : []) {
			if (peer.role === 'entry') {
				this.#links.sendMessage(peer.name, {type: 'crashes', crashes, agent});
			}
		}
	}

	/** Removes a caller that has left; the job ends with its last one. */
	#removeWaiter(job: Job, resolve: Waiter): void {
		const waiters = this.#waiters.get(job);
		if (waiters?.includes(resolve) !== true) {
			return;
		}

		if (waiters.length > 1) {
			this.#waiters.set(job, waiters.filter(other => other !== resolve));
			return;
		}

		this.#waiters.delete(job);
		this.#applyEffects(handleCallerLeave(this.state, job.id, this.#now()));
	}

	#replyToCallers(job: Job, answer: JobAnswer): void {
		const waiters = this.#waiters.get(job) ?? [];
		this.#waiters.delete(job);
		for (const reply of waiters) {
			reply(answer);
		}
	}

	#recordAnswer(job: Job, answer: JobAnswer): void {
		const now = this.#now();
		const isCompleted = answer.outcome === 'completed';
		this.input.log.recordDecision(isCompleted ? 'info' : 'warn', 'job-answered', {
			job: job.id,
			route: job.route.name,
			version: this.configuration.version,
			unconfirmedMs: this.configuration.unconfirmedMs,
			outcome: answer.outcome,
			reason: answer.reason,
			...answer.estimate,
			ms: Math.round(now - job.receivedAt),
			mayBeRepeated: job.mayBeRepeated,
			checkMs: job.checkMs === undefined ? undefined : Math.round(job.checkMs),
			objectiveMs: Math.round(job.objectiveMs),
			tasks: job.tasks.length,
			moves: job.tasks.reduce((sum, {moves}) => sum + moves, 0),
			failures: job.tasks.reduce((sum, {failures}) => sum + failures, 0),
			...(!isCompleted && describeRunEvidence(job, now)),
		});
	}

	#applyEffects(effects: readonly DispatchEffect[]): void {
		for (const effect of addPendingWithdrawals(this.state, effects)) {
			(this.#effectHandlers[effect.type] as (effect: DispatchEffect) => void)(effect);
		}
	}
}
