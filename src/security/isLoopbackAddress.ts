/*
 * Tells addresses that no other machine can reach.
 */
import { BlockList, isIP } from "node:net";

const loopbackAddresses = new BlockList();
loopbackAddresses.addSubnet("127.0.0.0", 8, "ipv4");
loopbackAddresses.addAddress("::1", "ipv6");

/**
 * Tells whether an address reaches only this machine.
 * @param address - An IP address without a port.
 */
export function isLoopbackAddress(address: string): boolean {
    const withoutBrackets = address.replace(/^\[|\]$/g, "");
    const family = isIP(withoutBrackets);
    return family !== 0 && loopbackAddresses.check(withoutBrackets, family === 6 ? "ipv6" : "ipv4");
}
