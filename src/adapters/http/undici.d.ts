/**
 * Types of the only module of undici that is imported; importing the whole package would use more memory.
 */
declare module 'undici/lib/dispatcher/pool.js' {
	export {default} from 'undici/types/pool.js';
}
