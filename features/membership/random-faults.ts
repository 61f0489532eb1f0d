/**
 * Injects random faults into a simulated network, and checks the invariants of every view.
 */
import assert from 'node:assert/strict';
import type {ObservedChange, SimulatedNetwork, SimulatedNode} from '../../bench/membership-network.ts';

type Action = (network: SimulatedNetwork, node: SimulatedNode) => void;

const actions: Record<string, Action> = {
	die(network, node) {
		network.stopNode(node.address.name);
	},
	freeze(_network, node) {
		node.isFrozen = true;
	},
	lag(network, node) {
		node.lagMs = network.random.getInteger(800);
	},
	leave(network, node) {
		network.applyEvent(node, {type: 'leave'});
	},
	end(network, node) {
		network.applyEvent(node, {type: 'stop'});
		network.stopNode(node.address.name);
	},
	cutOneWay(network, node) {
		const {name} = node.address;
		network.faults.isBlocked = network.random.getInteger(2) === 0 ? from => from === name : (_from, to) => to === name;
	},
	cutHalves(network) {
		const part = new Set([...network.nodes.keys()].filter(() => network.random.getInteger(2) === 0));
		network.faults.isBlocked = (from, to) => part.has(from) !== part.has(to);
	},
	lose(network) {
		network.faults.loss = network.random.getFloat() / 2;
	},
	setMetadata(network, node) {
		const {configRevision} = node.state.self.metadata;
		network.applyEvent(node, {type: 'set-metadata', metadata: {configRevision: configRevision + network.random.getInteger(3), configDigest: 'digest'}});
	},
	heal(network) {
		network.faults.isBlocked = () => false;
		network.faults.loss = 0;
	},
	wake(network) {
		for (const node of network.nodes.values()) {
			node.lagMs = 0;
			if (node.isFrozen) {
				network.resumeNode(node.address.name);
			}
		}
	},
	restart(network) {
		for (const node of network.nodes.values()) {
			if (!node.isUp) {
				network.startNode(node.address.name, ['m1', 'm2', 'm5']);
			}
		}
	},
};

/**
 * Injects random faults, one after another.
 *
 * @param network - The network.
 * @param duration - For how long, in ms.
 * @returns Function that ends all faults and restarts the nodes that are down.
 */
export function startRandomFaults(network: SimulatedNetwork, duration: number): () => void {
	const names = Object.keys(actions);
	const end = network.now + duration;
	while (network.now < end) {
		const up = network.listRunningNodes();
		const action = actions[names[network.random.getInteger(names.length)]];
		if (up.length > 3) {
			action(network, up[network.random.getInteger(up.length)]);
		} else {
			actions.restart(network, up[0]);
		}

		network.run(network.random.getInteger(4000));
	}

	return () => {
		actions.heal(network, network.listRunningNodes()[0]);
		actions.wake(network, network.listRunningNodes()[0]);
		actions.restart(network, network.listRunningNodes()[0]);
	};
}

function formatObservation(observed: ObservedChange): string {
	const {name, incarnation} = observed.change.member.address;
	return `${observed.observer} ${observed.observerIncarnation} sees ${name} ${incarnation}`;
}

/**
 * Asserts over all changes recorded so far that no incarnation decreased within one observer's view, and
 * that no member became active again after leaving in the same incarnation.
 *
 * @param network - The network.
 */
export function assertViewInvariants(network: SimulatedNetwork): void {
	const left = new Set<string>();
	for (const observed of network.changes) {
		const {member, previous} = observed.change;
		assert.ok(previous === undefined || previous.address.incarnation <= member.address.incarnation, `incarnation decreased: ${formatObservation(observed)}`);
		if (member.status === 'leaving') {
			left.add(formatObservation(observed));
		}

		const isActive = member.status === 'alive' || member.status === 'suspect';
		assert.ok(!isActive || !left.has(formatObservation(observed)), `active after leaving: ${formatObservation(observed)}`);
	}
}
