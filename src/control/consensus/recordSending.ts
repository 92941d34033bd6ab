/*
 * Records the sending of a message on whose acknowledgement a lease may rely.
 */
import { ConsensusState } from "./ConsensusState";
import { SentMessage } from "./SentMessage";

/**
 * Gets the times and the promise of a message that is sent now.
 * @param state - The leader's state.
 */
export function recordSending({ options: { clock }, promiseLength }: ConsensusState): SentMessage {
    return {
        sentMilliseconds: clock.getMonotonicMilliseconds(),
        sentWallMilliseconds: clock.getWallMilliseconds(),
        promiseMilliseconds: promiseLength.getMilliseconds(),
    };
}
