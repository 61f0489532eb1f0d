/**
 * Options of outlier ejection from the settings.
 */
import type {HealthSettings} from '../../settings/sections/health.ts';
import type {HealthOptions} from './types.ts';

/**
 * Creates the options.
 *
 * @param settings - Section `health` of the settings.
 * @returns The options.
 */
export function createHealthOptions(settings: HealthSettings): HealthOptions {
	return {
		minFailures: settings.minFailures,
		evidence: settings.evidence,
		ordinaryRate: settings.ordinaryRate,
		minPeers: settings.minPeers,
		confirmTime: settings.confirmMs,
		staleTime: settings.staleMs,
		maxEjectedShare: settings.maxEjectedShare,
		trialInterval: settings.trialIntervalMs,
		maxTrialInterval: settings.maxTrialIntervalMs,
		trialSuccesses: settings.trialSuccesses,
		trialTimeout: settings.trialTimeoutMs,
	};
}
