/**
 * Reports the load of this agent to entries and other agents when it changes: a change of the slots or of leaving at once,
 * saturation to entries at most once per `fullReportMs`, other changes at most once per interval of the receiver's role.
 */
import type {NodeName, NodeRef} from '../../core/identity/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {LoadReport, Role} from '../../ports/messages.ts';
import type {Node} from '../shared/node.ts';

/** The last load sent to a process. */
type SentLoad = {
	load: LoadReport;
	/** Time at which it was sent. */
	at: Milliseconds;
};

/** Returns whether two loads need no report between them; a change of `expectedWait` alone is not reported. */
function isSameLoad(left: LoadReport, right: LoadReport): boolean {
	return left.freeSlots === right.freeSlots && left.slots === right.slots && left.queued === right.queued && left.leaving === right.leaving;
}

/** Returns whether a change is sent without delay: the number of slots changes, or the agent starts or stops leaving. */
function isUrgentChange(left: LoadReport, right: LoadReport): boolean {
	return left.slots !== right.slots || left.leaving !== right.leaving;
}

/** Returns whether the last free slot was taken, or the first one became free. */
function isSaturationChange(left: LoadReport, right: LoadReport): boolean {
	return (left.freeSlots === 0) !== (right.freeSlots === 0);
}

/** Sends load reports until it is disposed. */
export class LoadReporter implements Disposable {
	readonly #sentLoads = new Map<NodeName, SentLoad>();
	readonly #intervals: Record<Role, Milliseconds>;
	readonly #timer: Disposable;

	/**
	 * @param node - The agent.
	 * @param getLoad - Returns the current load.
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
				this.#sentLoads.delete(peer.name);
			},
		});
	}

	/** Sends a report to this process itself and to every connected one for which a report is due. */
	sendReports(): void {
		const load = this.getLoad();
		for (const peer of [this.node.self, ...this.node.network.listStreams()]) {
			if (this.#isDue(peer, load)) {
				this.#sendReport(peer, load);
			}
		}
	}

	/** Records that a message has already carried the load to a process. */
	recordSentLoad(peer: NodeRef, load: LoadReport): void {
		this.#sentLoads.set(peer.name, {load, at: this.node.input.clock.getTime()});
	}

	[Symbol.dispose](): void {
		this.#timer[Symbol.dispose]();
	}

	#isDue(peer: NodeRef, load: LoadReport): boolean {
		const sent = this.#sentLoads.get(peer.name);
		if (sent === undefined || isUrgentChange(sent.load, load)) {
			return true;
		}

		const elapsed = this.node.input.clock.getTime() - sent.at;
		const role = this.node.membership.findMember(peer.name)?.address.role ?? 'agent';
		if (role === 'entry' && isSaturationChange(sent.load, load) && elapsed >= this.node.input.settings.peer.fullReportMs) {
			return true;
		}

		return !isSameLoad(sent.load, load) && elapsed >= this.#intervals[role];
	}

	#sendReport(peer: NodeRef, load: LoadReport): void {
		this.recordSentLoad(peer, load);
		this.node.sendMessage(peer, {type: 'load', load});
	}
}
