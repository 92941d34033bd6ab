import { ConsensusHandlers, ConsensusPeers } from "../../../src/control/consensus";
import { RandomSource } from "../../../src/runtime";
import { VirtualClock } from "./createVirtualClock";

/** A simulated network that loses, delays, reorders and duplicates messages, and can be cut in one direction. */
export interface NetworkFake {
    /** The share of messages that are lost. */
    lossShare: number;
    /** The share of messages that arrive twice. */
    duplicateShare: number;
    /** The maximum delay of a message, in milliseconds. */
    maximumDelayMilliseconds: number;
    /** How long a sender waits for a response, in milliseconds. */
    timeoutMilliseconds: number;
    /** Sets the handlers at an address; undefined makes it unreachable. */
    setMember(address: string, handlers: ConsensusHandlers | undefined): void;
    /** Creates the client with which a member reaches the others. */
    createPeers(ownAddress: string): ConsensusPeers;
    /** Drops all messages from one address to another. */
    cut(fromAddress: string, toAddress: string): void;
    /** Suspends or resumes the process at an address; messages to and responses for it wait meanwhile. */
    setFrozen(address: string, isFrozen: boolean): void;
    /** Waits until the process at an address is not suspended. */
    waitUntilUnfrozen(address: string): Promise<void>;
    /** Ends all cuts, suspensions, losses and duplicates. */
    heal(): void;
    /** Gets the number of messages and responses sent. */
    getMessageCount(): number;
}

const defaultTimeoutMilliseconds = 300;
const joinTimeoutMilliseconds = 5_000;

/** Creates a network without faults. */
export function createNetworkFake(clock: VirtualClock, random: RandomSource): NetworkFake {
    const members = new Map<string, ConsensusHandlers>();
    const cuts = new Set<string>();
    const unfreezeByAddress = new Map<string, () => void>();
    const unfrozenByAddress = new Map<string, Promise<void>>();
    let messageCount = 0;
    const network: NetworkFake = {
        lossShare: 0,
        duplicateShare: 0,
        maximumDelayMilliseconds: 5,
        timeoutMilliseconds: defaultTimeoutMilliseconds,
        setMember,
        createPeers,
        cut: (fromAddress, toAddress) => void cuts.add(`${fromAddress}>${toAddress}`),
        setFrozen,
        waitUntilUnfrozen,
        heal,
        getMessageCount: () => messageCount,
    };
    return network;

    function setMember(address: string, handlers: ConsensusHandlers | undefined): void {
        if (handlers) {
            members.set(address, handlers);
        }
        else {
            members.delete(address);
        }
    }

    function setFrozen(address: string, isFrozen: boolean): void {
        if (isFrozen && !unfreezeByAddress.has(address)) {
            unfrozenByAddress.set(address, new Promise(resolve => unfreezeByAddress.set(address, resolve)));
        }
        else if (!isFrozen) {
            unfreezeByAddress.get(address)?.();
            unfreezeByAddress.delete(address);
            unfrozenByAddress.delete(address);
        }
    }

    function heal(): void {
        cuts.clear();
        [...unfreezeByAddress.keys()].forEach(address => setFrozen(address, false));
        network.lossShare = 0;
        network.duplicateShare = 0;
    }

    function createPeers(ownAddress: string): ConsensusPeers {
        return {
            requestVote: (address, request) => call(address, member => member.handleVote(request)),
            appendEntries: (address, request) => call(address, member => member.handleAppend(request)),
            sendHeartbeat: (address, request) => call(address, member => member.handleHeartbeat(request)),
            installSnapshot: (address, part) => call(address, member => member.handleSnapshotPart(part)),
            requestJoin: (address, request) => {
                return call(address, member => member.handleJoin(request), joinTimeoutMilliseconds);
            },
            requestReadIndex: (address, request) => call(address, member => member.handleReadIndex(request)),
            requestLeadership: (address, request) => call(address, member => member.handleLeadership(request)),
        };

        function call<T>(
            address: string,
            deliver: (member: ConsensusHandlers) => Promise<T | undefined>,
            timeoutMilliseconds = network.timeoutMilliseconds,
        ): Promise<T | undefined> {
            const controller = new AbortController();
            return new Promise(resolve => {
                void clock.sleep(timeoutMilliseconds, controller.signal).then(() => finish(undefined));
                void deliverOnce(finish);
                if (random.getFraction() < network.duplicateShare) {
                    void deliverOnce(() => undefined);
                }

                function finish(response: T | undefined): void {
                    void waitUntilUnfrozen(ownAddress).then(() => resolve(response));
                    controller.abort();
                }
            });

            async function deliverOnce(finish: (response: T) => void): Promise<void> {
                if (!await transmit(ownAddress, address)) {
                    return;
                }
                const member = members.get(address);
                const response = member ? await deliver(member) : undefined;
                if (response !== undefined && await transmit(address, ownAddress)) {
                    finish(response);
                }
            }
        }
    }

    /** Delays a message, and returns whether it arrives. */
    async function transmit(fromAddress: string, toAddress: string): Promise<boolean> {
        messageCount += 1;
        if (cuts.has(`${fromAddress}>${toAddress}`) || random.getFraction() < network.lossShare) {
            return false;
        }
        await clock.sleep(random.getFraction() * network.maximumDelayMilliseconds);
        await waitUntilUnfrozen(toAddress);
        return !cuts.has(`${fromAddress}>${toAddress}`);
    }

    async function waitUntilUnfrozen(address: string): Promise<void> {
        await unfrozenByAddress.get(address);
    }
}
