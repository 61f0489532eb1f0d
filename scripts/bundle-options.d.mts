/** Types of the options that build scripts and tests share. */
import type {BuildOptions} from 'esbuild';

export const bundleOptions: BuildOptions;
export const optionalAddons: string[];
export const platformNodeOptions: Readonly<Record<'entry' | 'agent', readonly string[]>>;
