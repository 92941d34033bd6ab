/*
 * Basic abstractions for all folders: clocks, random numbers, queues, notifications between tasks, and shutdown.
 */
export * from "./abortWait";
export * from "./AsyncQueue";
export * from "./breakOffResponse";
export * from "./ByteCollector";
export * from "./Clock";
export * from "./createAsyncQueue";
export * from "./createByteCollector";
export * from "./createMemoryBudget";
export * from "./createRandomSource";
export * from "./createSystemClock";
export * from "./createWakeup";
export * from "./detach";
export * from "./endAfterSending";
export * from "./getReadGate";
export * from "./MemoryAccount";
export * from "./MemoryBudget";
export * from "./MemoryHolder";
export * from "./pollConnections";
export * from "./RandomSource";
export * from "./ReadGate";
export * from "./ReadPause";
export * from "./runAfter";
export * from "./runWithTimeout";
export * from "./Stoppable";
export * from "./waitWithTimeout";
export * from "./Wakeup";
