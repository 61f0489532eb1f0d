/**
 * Exchange between entries about the configuration: which version each has, for how long nothing has confirmed it, and its text
 * for those that the store does not answer.
 */
import {computeConfirmationLimits} from '../../core/bounds/logic.ts';
import type {Bounds} from '../../core/bounds/types.ts';
import {
	checkConfirmation, recordReport, removeReport, takeQuery,
} from '../../core/confirmation/logic.ts';
import type {Confirmation, ConfirmationLimits} from '../../core/confirmation/types.ts';
import type {NodeName} from '../../core/identity/types.ts';
import type {ConnectedPeer} from '../../core/links/types.ts';
import {
	chooseFetch, createSharingState, recordPeerVersion, removePeerVersion,
} from '../../core/routes/sharing.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';
import type {VersionMessage} from '../../ports/dispatch-messages.ts';
import {waitFor} from '../shared/wait.ts';
import type {ConfigurationSource} from './configuration.ts';
import type {PeerLinks} from './links.ts';

/** Callers are answered by the configuration in force: a newer one would be known, or the store answers no entry. */
const answeredConfirmations: ReadonlySet<Confirmation> = new Set(['confirmed', 'store-silent']);

/** What the exchange needs of its entry. */
export type VersionExchangeInput = {
	readonly configuration: ConfigurationSource;
	readonly links: Pick<PeerLinks, 'listConnected' | 'sendMessage' | 'countEntriesToAsk'>;
	readonly bounds: Bounds;
	readonly clock: Clock;
	readonly log: DecisionLog;
};

/**
 * Time for which requests wait for a confirmation after the last one has become too old, in ms: after a pause of this process,
 * a read of the store and the answers of other entries are on their way.
 */
const confirmationWaitMs = 150;

/** Interval in which a request that waits looks for a confirmation, in ms. */
const waitStepMs = 10;

type MessageHandlers = {
	readonly [Type in VersionMessage['type']]: (from: NodeName, message: Extract<VersionMessage, {type: Type}>) => void;
};

/** Versions of the other entries, and what they confirm. */
export class VersionExchange {
	readonly #sharing = createSharingState();
	readonly #limits: ConfirmationLimits;
	/** What was last logged, and since when callers may not be answered; undefined while they may. */
	#confirmation: Confirmation = 'confirmed';
	#refusingSince: Milliseconds | undefined;

	readonly #handlers: MessageHandlers = {
		version: (from, {version}) => {
			recordPeerVersion(this.#sharing, from, version);
		},
		'query-version': (from, {askedAt}) => {
			const {version, unconfirmedMs} = this.input.configuration;
			this.input.links.sendMessage(from, {
				type: 'version-report', version, askedAt, ...(unconfirmedMs !== undefined && {unconfirmedMs}),
			});
		},
		'version-report': (from, report) => {
			recordPeerVersion(this.#sharing, from, report.version);
			const {confirmation, version} = this.input.configuration;
			recordReport(confirmation, from, report, version);
		},
		'fetch-configuration': from => {
			const {version, text} = this.input.configuration;
			if (version > 0) {
				this.input.links.sendMessage(from, {type: 'configuration', version, text});
			}
		},
		configuration: (from, {version, text}) => {
			if (version > this.input.configuration.version) {
				this.input.configuration.applyText(text, from);
			}
		},
	};

	/** @param input - The entry. */
	constructor(private readonly input: VersionExchangeInput) {
		this.#limits = computeConfirmationLimits(input.bounds);
	}

	/** Handles a message of another entry. */
	handleMessage(from: NodeName, message: VersionMessage): void {
		(this.#handlers[message.type] as (from: NodeName, message: VersionMessage) => void)(from, message);
	}

	/** Handles a new stream to an entry. The version here may have changed since the own announcement was written. */
	handleConnect({name, configurationVersion}: ConnectedPeer): void {
		recordPeerVersion(this.#sharing, name, configurationVersion);
		const {version} = this.input.configuration;
		if (configurationVersion < version) {
			this.input.links.sendMessage(name, {type: 'version', version});
		}
	}

	/** Handles that the last stream to a process has closed. */
	handleDisconnect(name: NodeName): void {
		removePeerVersion(this.#sharing, name);
		const {confirmation, version} = this.input.configuration;
		removeReport(confirmation, name, version);
	}

	/** Tells the other entries of a version, also those that watch the store: it may be unavailable to some of them. */
	shareVersion(version: number): void {
		for (const name of this.#listEntries()) {
			this.input.links.sendMessage(name, {type: 'version', version});
		}
	}

	/** Checks what is known of the configuration in force, and logs a change. */
	checkConfirmation(): Confirmation {
		const {configuration, links, clock, log} = this.input;
		const {version, confirmation, unconfirmedMs} = configuration;
		const otherEntries = links.countEntriesToAsk();
		const current = checkConfirmation(confirmation, {
			version, otherEntries, limits: this.#limits, now: clock.getTime(),
		});
		if (current !== this.#confirmation && version > 0) {
			log.recordDecision('warn', 'confirmation-changed', {
				state: current, previous: this.#confirmation, version, unconfirmedMs, reports: confirmation.reports.size, otherEntries,
			});
			this.#confirmation = current;
		}

		this.#refusingSince = answeredConfirmations.has(current) ? undefined : this.#refusingSince ?? clock.getTime();
		return current;
	}

	/** Returns whether callers may be answered by the configuration in force. */
	canAnswer(): boolean {
		return answeredConfirmations.has(this.checkConfirmation());
	}

	/** Waits until callers may be answered, if that can be soon; returns whether they may. */
	async waitForConfirmation(): Promise<boolean> {
		const {clock} = this.input;
		while (!this.canAnswer()) {
			if (clock.getTime() - this.#refusingSince! >= confirmationWaitMs) {
				return false;
			}

			await waitFor(clock, waitStepMs);
		}

		return true;
	}

	/** Asks the other entries if nothing has confirmed the configuration for some time, and fetches a newer one. */
	advance(): void {
		const {configuration: {version, confirmation}, links, clock} = this.input;
		const now = clock.getTime();
		if (takeQuery(confirmation, {version, limits: this.#limits, now})) {
			for (const name of this.#listEntries()) {
				links.sendMessage(name, {type: 'query-version', askedAt: now});
			}
		}

		const peer = chooseFetch(this.#sharing, version, now);
		if (peer !== undefined) {
			links.sendMessage(peer, {type: 'fetch-configuration'});
		}

		this.checkConfirmation();
	}

	#listEntries(): readonly NodeName[] {
		return this.input.links.listConnected().filter(({role}) => role === 'entry').map(({name}) => name);
	}
}
