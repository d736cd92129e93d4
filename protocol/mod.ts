/**
 * Wire format of the messages between the system's own processes.
 *
 * @module
 */
export * from "./frame_codec.ts";
