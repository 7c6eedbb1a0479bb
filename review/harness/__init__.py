"""Stand-ins and process control that the review's scripts share."""
