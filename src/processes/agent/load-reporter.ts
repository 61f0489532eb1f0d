/**
 * Tells the load of this agent to entries and other agents: when it changed, and not more often than each needs.
 */
import type {NodeName, NodeRef} from '../../core/identity/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {LoadReport, Role} from '../../ports/messages.ts';
import type {Node} from '../shared/node.ts';

type Told = {
	load: LoadReport;
	at: Milliseconds;
};

function isSameLoad(left: LoadReport, right: LoadReport): boolean {
	return left.freeSlots === right.freeSlots && left.slots === right.slots && left.queued === right.queued && left.leaving === right.leaving;
}

/** Whether a change matters at once: the agent leaves, or its slots appear or disappear. */
function isUrgentChange(left: LoadReport, right: LoadReport): boolean {
	return left.slots !== right.slots || left.leaving !== right.leaving;
}

/** Whether the last free slot was taken, or one became free. */
function isFullnessChange(left: LoadReport, right: LoadReport): boolean {
	return (left.freeSlots === 0) !== (right.freeSlots === 0);
}

/** Sends load reports until disposed of. */
export class LoadReporter implements Disposable {
	readonly #told = new Map<NodeName, Told>();
	readonly #intervals: Record<Role, Milliseconds>;
	readonly #timer: Disposable;

	/**
	 * @param node - The agent.
	 * @param getLoad - Returns its load.
	 */
	constructor(private readonly node: Node, private readonly getLoad: () => LoadReport) {
		const {entryReportMs, agentReportMs, fullReportMs} = node.input.settings.peer;
		this.#intervals = {entry: entryReportMs, agent: agentReportMs};
		this.#timer = node.input.clock.startInterval(fullReportMs, () => {
			this.sendReports();
		});
		node.addStreamListener({
			onOpen: peer => {
				this.#sendReport(peer, this.getLoad());
			},
			onClose: peer => {
				this.#told.delete(peer.name);
			},
		});
	}

	/** Sends a report to every process that is due one. */
	sendReports(): void {
		const load = this.getLoad();
		for (const peer of [this.node.self, ...this.node.network.listStreams()]) {
			if (this.#isDue(peer, load)) {
				this.#sendReport(peer, load);
			}
		}
	}

	/** Records that a process was told the load by another message. */
	recordReport(peer: NodeRef, load: LoadReport): void {
		this.#told.set(peer.name, {load, at: this.node.input.clock.getTime()});
	}

	[Symbol.dispose](): void {
		this.#timer[Symbol.dispose]();
	}

	#isDue(peer: NodeRef, load: LoadReport): boolean {
		const told = this.#told.get(peer.name);
		if (told === undefined || isUrgentChange(told.load, load)) {
			return true;
		}

		const elapsed = this.node.input.clock.getTime() - told.at;
		const role = this.node.membership.findMember(peer.name)?.address.role ?? 'agent';
		if (role === 'entry' && isFullnessChange(told.load, load) && elapsed >= this.node.input.settings.peer.fullReportMs) {
			return true;
		}

		return !isSameLoad(told.load, load) && elapsed >= this.#intervals[role];
	}

	#sendReport(peer: NodeRef, load: LoadReport): void {
		this.recordReport(peer, load);
		this.node.sendMessage(peer, {type: 'load', load});
	}
}
