/**
 * The part of a process's status that does not depend on its role.
 */
import packageFile from '../../../package.json' with {type: 'json'};
import type {ProcessStatus} from '../../ports/control.ts';
import type {Node} from './node.ts';

/**
 * Creates the status of a process without the fields that its role adds.
 *
 * @param node - The process.
 * @returns The status, without ejected agents.
 */
export function createNodeStatus(node: Pick<Node, 'self' | 'input' | 'membership'>): Omit<ProcessStatus, 'ejected'> {
	const {self, membership, input} = node;
	const {status, metadata} = membership.getSelf();
	return {
		self,
		version: packageFile.version,
		uptime: Math.round(input.clock.getTime() - self.incarnation),
		isLeaving: status === 'leaving',
		configRevision: metadata.configRevision,
		configDigest: metadata.configDigest,
		members: membership.listMembers(),
	};
}
