/*
 * The prefill speed of engines.
 */

/** The prefill speed of an engine, in prompt tokens per millisecond: the magnitude of current engines. */
export const prefillTokensPerMillisecond = 50;
