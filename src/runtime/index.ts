/*
 * What every part needs of its surroundings: time, randomness, and an orderly stop.
 */
export * from "./AsyncQueue";
export * from "./Clock";
export * from "./createAsyncQueue";
export * from "./createRandomSource";
export * from "./createSystemClock";
export * from "./createWakeup";
export * from "./RandomSource";
export * from "./Stoppable";
export * from "./waitWithTimeout";
export * from "./Wakeup";
