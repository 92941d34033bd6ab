/*
 * The client with which an entry process reaches the stores of control members.
 */
import { StreamOrigin } from "../protocol";
import { StreamOriginReply } from "./StreamOriginReply";

/** Records and finds origins at one control member. A failure is returned as a result, not thrown. */
export interface StreamOriginClient {
    /**
     * Records origins at a member, which holds them once it has responded.
     * @param address - The member's internal address.
     * @param origins - The origins.
     * @param timeoutMilliseconds - The time after which the call fails, in milliseconds.
     */
    record(
        address: string,
        origins: readonly StreamOrigin[],
        timeoutMilliseconds: number,
    ): Promise<StreamOriginReply>;
    /**
     * Finds an origin at a member.
     * @param address - The member's internal address.
     * @param requestId - The id of the request that began the stream.
     * @param timeoutMilliseconds - The time after which the call fails, in milliseconds.
     */
    find(address: string, requestId: string, timeoutMilliseconds: number): Promise<StreamOriginReply>;
}
