/**
 * The manifest: the single stored object that lists the parts of the configuration.
 *
 * A change of configuration is accepted when the platform's store accepts the replacement of this object.
 *
 * @module
 */
import * as v from "valibot";
import { parseBySchema } from "../platform/mod.ts";

/** Key of the manifest in the platform's store. */
export const MANIFEST_KEY = "configuration/manifest";
/** Key prefix of configuration parts in the platform's store; the content hash follows. */
export const PART_KEY_PREFIX = "configuration/parts/";

/** Schema of a manifest. */
export const ManifestSchema = v.object({
    /** Number of the configuration; each accepted change increases it by one. */
    generation: v.pipe(v.number(), v.integer(), v.minValue(1)),
    /** Who made the change. */
    author: v.string(),
    /** Unique identifier of the change, by which its author recognizes it. */
    editId: v.string(),
    /** Content hash of each part, by the part's name. */
    parts: v.record(v.string(), v.string()),
});

/** The manifest of one configuration generation. */
export type Manifest = v.InferOutput<typeof ManifestSchema>;

/**
 * Parses a manifest.
 *
 * @param text JSON text of the manifest.
 * @returns The manifest, or `undefined` if `text` is not a valid manifest.
 */
export function parseManifest(text: string): Manifest | undefined {
    return parseBySchema(ManifestSchema, text);
}
