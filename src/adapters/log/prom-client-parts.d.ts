/**
 * Types of the prom-client modules that are imported on their own, because the whole package takes longer to load.
 */
declare module 'prom-client/lib/counter.js' {
	export {Counter as default} from 'prom-client';
}

declare module 'prom-client/lib/gauge.js' {
	export {Gauge as default} from 'prom-client';
}

declare module 'prom-client/lib/histogram.js' {
	export {Histogram as default} from 'prom-client';
}

declare module 'prom-client/lib/registry.js' {
	export {Registry as default} from 'prom-client';
}
