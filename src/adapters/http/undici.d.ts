/**
 * Types of the single module of undici that is imported; the whole package would need more memory.
 */
declare module 'undici/lib/dispatcher/pool.js' {
	export {default} from 'undici/types/pool.js';
}
