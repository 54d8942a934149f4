/** Messages by which entries tell each other about endpoints. */

export interface EndpointMessages {
  /** The sender has learnt that an endpoint or its host leaves. */
  endpointLeaving: {
    readonly endpoints: readonly string[];
    readonly host: string;
    /** Wall-clock milliseconds by which the host is gone; 0 when not known. */
    readonly goneAt: number;
    /** All endpoints of the host leave, also those that the sender does not know. */
    readonly isWhole?: boolean;
  };
  /**
   * Asks for the receiver's host list, by a process that has none yet because
   * the platform is down; answered with `{endpoints}`, empty when it has none.
   */
  endpointsWanted: Readonly<Record<string, never>>;
}
