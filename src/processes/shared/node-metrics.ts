/**
 * Metrics that every process exposes: messages, gossip bytes, members and the contract revision.
 */
import type {PeerNetwork} from '../../adapters/peer/network.ts';
import type {GossipMembership} from '../../adapters/gossip/gossip.ts';
import type {ContractSource} from '../../ports/contracts.ts';
import type {MemberStatus} from '../../ports/membership.ts';
import type {Metric, MetricSample} from '../../ports/metrics.ts';

function listMessageSamples(network: PeerNetwork): MetricSample[] {
	return (['sent', 'received'] as const).flatMap(direction =>
		[...network.counts[direction]].map(([type, value]) => ({labels: {direction, type}, value})));
}

function listMemberSamples(membership: GossipMembership): MetricSample[] {
	const counts: Record<MemberStatus, number> = {
		alive: 0, suspect: 0, leaving: 0, dead: 0,
	};
	for (const {status} of membership.listMembers()) {
		counts[status]++;
	}

	return Object.entries(counts).map(([status, value]) => ({labels: {status}, value}));
}

/**
 * Lists the metrics that do not depend on the role of the process.
 *
 * @param network - Streams of the process.
 * @param membership - Membership of the process.
 * @param contracts - Contracts of the process.
 * @returns The metrics.
 */
export function listNodeMetrics(network: PeerNetwork, membership: GossipMembership, contracts: ContractSource): Metric[] {
	const {sentBytes, receivedBytes} = membership.getCounters();
	return [
		{
			name: 'medlardale_peer_messages_total', help: 'Messages between processes', type: 'counter', samples: listMessageSamples(network),
		},
		{
			name: 'medlardale_gossip_bytes_total',
			help: 'Bytes of gossip datagrams',
			type: 'counter',
			samples: [{labels: {direction: 'sent'}, value: sentBytes}, {labels: {direction: 'received'}, value: receivedBytes}],
		},
		{
			name: 'medlardale_members', help: 'Other members of the fleet by status', type: 'gauge', samples: listMemberSamples(membership),
		},
		{
			name: 'medlardale_contracts_revision', help: 'Revision of the contract document in force', type: 'gauge', samples: [{labels: {}, value: contracts.getDocument().revision}],
		},
	];
}
