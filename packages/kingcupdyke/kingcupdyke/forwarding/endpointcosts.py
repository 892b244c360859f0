"""
kingcupdyke.forwarding.endpointcosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates the costs of sending a request to an endpoint, and its wait for capacity.
"""

from kingcupdyke.forwarding.endpointstate import EndpointState
from kingcupdyke.forwarding.workitem import WorkItem

__all__ = ["EndpointCosts", "estimate_read_s"]

#: Seconds that each running request adds to the expected time to the first event.
RUNNING_REQUEST_COST_S = 0.001
#: Seconds added to the cost of an endpoint in another data centre, or in another region.
OTHER_DATA_CENTRE_COST_S = 0.01
OTHER_REGION_COST_S = 0.12
#: Seconds added to the cost of an endpoint, multiplied by its share of failed requests.
FAILURE_COST_S = 2.0
#: Assumed duration in seconds of a plain service's requests until the first one has ended.
INITIAL_DURATION_S = 0.05
#: Weight of the newest request in a service's moving average of request durations.
DURATION_WEIGHT = 0.1


class EndpointCosts:
    """Compares endpoints by their expected costs, in seconds, as seen from one gateway.

    :param data_centre: data centre of this gateway
    :param region_by_data_centre: the region of each data centre
    """

    def __init__(self, data_centre: str, region_by_data_centre: dict[str, str]) -> None:
        self._data_centre = data_centre
        self.region_by_data_centre = region_by_data_centre
        self._mean_duration_s_by_service: dict[str, float] = {}

    def note_duration(self, service: str, seconds: float) -> None:
        """Record that a request has ended at its endpoint.

        :param seconds: seconds since it was sent
        """
        average_s = self._mean_duration_s_by_service.get(service, seconds)
        self._mean_duration_s_by_service[service] = average_s + DURATION_WEIGHT * (
            seconds - average_s
        )

    def estimate_wait_s(
        self, item: WorkItem, before: list[WorkItem], states: list[EndpointState]
    ) -> float:
        """:return: expected seconds until full endpoints have capacity for a waiting request

        :param before: waiting requests that are served before this one
        """
        if item.model:
            tokens = sum(each.prompt_tokens for each in before) + item.prompt_tokens
            tokens += sum(each.unread_tokens for each in states)
            return tokens / sum(each.tokens_per_s for each in states)
        mean_s = self._mean_duration_s_by_service.get(item.service, INITIAL_DURATION_S)
        slots = sum(max(1, each.entry.slots) for each in states)
        return mean_s * (len(before) + 1) / slots

    def cost_s(self, state: EndpointState, item: WorkItem) -> float:
        """:return: expected seconds to the first event, plus the costs of distance and failures"""
        cost_s = estimate_read_s(state, item) + state.requests * RUNNING_REQUEST_COST_S
        if not item.model:
            mean_s = self._mean_duration_s_by_service.get(item.service, INITIAL_DURATION_S)
            cost_s = mean_s * state.requests / max(1, state.entry.slots)
        # The window of an endpoint that recovers takes the place of the cost of its failures.
        failure_share = state.failure_share if state.pace is None else 0.0
        return cost_s + self._distance_s(state) + FAILURE_COST_S * failure_share

    def _distance_s(self, state: EndpointState) -> float:
        other = state.entry.data_centre
        if other == self._data_centre:
            return 0.0
        regions = self.region_by_data_centre
        if regions.get(other) == regions.get(self._data_centre):
            return OTHER_DATA_CENTRE_COST_S
        return OTHER_REGION_COST_S


def estimate_read_s(state: EndpointState, item: WorkItem) -> float:
    """:return: expected seconds until an engine has read a prompt and all unread ones before"""
    cached = state.count_cached_tokens(item.model, item.parts)
    tokens = state.unread_tokens + max(0, item.prompt_tokens - cached)
    return tokens / state.tokens_per_s
