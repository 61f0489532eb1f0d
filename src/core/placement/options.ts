/**
 * Creates the options of placement from the settings.
 */
import type {NodeName} from '../identity/types.ts';
import type {PlacementSettings} from '../../settings/sections/placement.ts';
import type {PlacementOptions} from './types.ts';

/**
 * Creates the options of one process.
 *
 * @param settings - Section `placement` of the settings.
 * @param dataCentre - Data centre of the process.
 * @param self - Name of the process if it is an agent.
 * @returns The options.
 */
export function createPlacementOptions(settings: PlacementSettings, dataCentre: string, self?: NodeName): PlacementOptions {
	return {
		policy: settings.policy,
		self,
		dataCentre,
		queuePerAgent: settings.queuePerAgent,
		localDelay: settings.localDelayMs,
		extraDelay: settings.extraDelayMs,
		assumedRunTime: settings.assumedRunTimeMs,
		slowFactor: settings.slowFactor,
		slownessHalfLife: settings.slownessHalfLifeMs,
		peerCount: settings.peerCount,
		redrawInterval: settings.redrawMs,
		redrawShare: settings.redrawShare,
		localWeight: settings.localWeight,
	};
}
